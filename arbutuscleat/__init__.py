"""Arbutuscleat: a fleet capacity and maintenance manager.

A library of coordination components with thin daemons.  A package imports only
packages that come after it in this order: `daemons` and `cli`, `http`, `maintenance`,
`routing`, `membership`, `state`, `consensus`, `wire`, `telemetry`, `settings`, `core`.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
