"""Members: the entry instances that are registered in the replicated log."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """One entry instance.

    Parameters
    ----------
    node_id, incarnation : str
        Identity of the instance and of the registered run of its process.  A member
        with a disk keeps its incarnation across restarts.
    data_centre : str
        The data centre in which it dispatches work; a failure domain.
    host, port : str, int
        Address on which its peers reach it.
    durable : bool
        Whether it stores its configuration version on disk.
    live : bool
        Whether its peers need its lease, and control its acknowledgement.
    suspect : bool
        Whether control no longer hears from it.
    since_version : int
        Configuration version of the last change to this member.
    """

    node_id: str
    incarnation: str
    data_centre: str
    host: str
    port: int
    durable: bool
    live: bool
    suspect: bool = False
    since_version: int = 0
