"""The provider of machines, as far as the users' page "Machines" describes it."""

import threading
from collections.abc import Callable
from typing import Any

from .http_service import Answer, HttpService
from .record import Record


class Provider:
    """Lists the machines; moves and upkeep are recorded and carried out.

    Parameters
    ----------
    record : Record
        Receives the orders.
    host : str
        Its loopback address.
    rows : callable
        Returns the rows of the list of machines.
    """

    def __init__(
        self,
        record: Record,
        host: str,
        rows: Callable[[], list[dict[str, Any]]],
        order: Callable[[str, dict[str, Any]], Answer] | None = None,
    ):
        self._record = record
        self._rows = rows
        self._order = order or (lambda path, tree: (409, {"reason": "busy"}))
        self._lock = threading.Lock()
        self.http = HttpService(host, 0, self._handle)

    def _handle(self, method: str, path: str, headers: dict, tree: Any) -> Answer:
        if method == "GET" and path.startswith("/v1/machines"):
            return 200, {"machines": self._rows(), "next-page-token": ""}
        if method == "POST":
            with self._lock:
                answer = self._order(path, tree)
            fence = headers.get("x-arbutuscleat-fencing-token")
            holder = headers.get("x-arbutuscleat-lease-holder")
            self._record.write(f"{path} {tree} by {holder} fence {fence}: {answer}")
            return answer
        return 404, None
