"""Members: the entry instances, as the log lists them."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """One entry instance.

    Parameters
    ----------
    node_id, incarnation : str
        Identity, and the run of the process that the log lists.  A member with a
        disk keeps its incarnation over a restart.
    data_centre : str
        The failure domain that it dispatches in.
    host, port : str, int
        Where its peers reach it.
    durable : bool
        Whether it keeps the version that it holds on a disk.
    live : bool
        Whether the others need its lease and control its acknowledgement.
    suspect : bool
        Whether control has ceased to hear it.
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
