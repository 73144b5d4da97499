"""Proofs that the features of the promises fail without their mechanisms."""
