"""INI settings, parsed once and checked."""
