"""Rates and bursts with borrowing."""
