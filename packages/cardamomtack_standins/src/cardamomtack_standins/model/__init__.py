"""A model of the services served: it plays loads to policies of placing, seeded."""
