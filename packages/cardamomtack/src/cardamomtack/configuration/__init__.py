"""Configuration: documents, revisions and the routes that follow from them."""
