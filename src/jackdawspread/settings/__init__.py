"""Settings of instances, read from INI files and validated."""
