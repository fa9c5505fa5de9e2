"""Nodes: the processes of the job queue, independent of the platform's settings.

An entry node and a control node need different dependencies, so each is imported from
its own module.
"""

__all__: list[str] = []
