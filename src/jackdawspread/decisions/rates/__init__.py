"""Decisions about rates and bursts of workspaces.

Each instance admits requests within its share of a workspace's rate and burst. An
instance without tokens sends spend requests to its peers, which grant it some of
theirs.
"""
