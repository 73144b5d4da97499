"""SQL schemas of the example data sets."""
