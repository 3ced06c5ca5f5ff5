"""Tasks that read the store for this VM and for others, and hear from those that do."""
