"""Nodes: the processes of the job queue, wired from settings of any platform.

An entry node and a control node need different parts, so each is imported from its
own module.
"""

__all__: list[str] = []
