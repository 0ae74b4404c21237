"""The operator's configuration: schema, validation, incremental reading, route look-up."""
