"""Decisions about the failure domain in which a statement is served.

They apply where a message between failure domains takes much longer than one within
a domain. Elsewhere the pool hosts of a group serve all failure domains alike.
"""
