"""Decisions about reads of the store, and about times of its clock.

One instance of a failure domain reads for the others.
"""
