"""The operator's configuration: schema, validation, incremental parsing and route lookup."""
