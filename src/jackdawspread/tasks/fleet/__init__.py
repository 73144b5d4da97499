"""Tasks for admission, rate shares, token loans and the failover of primaries."""
