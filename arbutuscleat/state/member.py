"""Members: the entry instances, as the log lists them."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """One entry instance.

    Parameters
    ----------
    node_id, incarnation : str
        Identity, and the run of the process that the log lists.
    data_centre : str
        The failure domain that it dispatches in.
    host, port : str, int
        Where its peers reach it.
    durable : bool
        Whether it keeps the acknowledged version on a disk.
    live : bool
        Whether the log counts on its acknowledgement.
    """

    node_id: str
    incarnation: str
    data_centre: str
    host: str
    port: int
    durable: bool
    live: bool
