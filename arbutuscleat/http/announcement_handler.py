"""The announcement API: ``POST /v1/announcements``.

An endpoint announces its instance at regular intervals.  The answer names the pool that
the instance is assigned to and when the next announcement is due.
"""

from collections.abc import Callable
from typing import Annotated

import pydantic
from pydantic import Field, IPvAnyAddress

from arbutuscleat.core import Instance, InstanceState, RefusalReason, validate_labels
from arbutuscleat.membership import AnnouncementTable, ConfigurationView
from arbutuscleat.settings.fields import Name, Section
from arbutuscleat.web.http_request import HttpRequest
from arbutuscleat.web.http_response import HttpResponse, json_response
from arbutuscleat.web.problem import refuse

from .auth import token_owner
from .request_handler import RequestHandler

ENDPOINT = "endpoint"


class AnnouncementBody(Section):
    """The body of an announcement: what an endpoint reports about its instance."""

    instance_id: Name
    incarnation: Annotated[str, Field(min_length=1, max_length=64)]
    host: IPvAnyAddress
    port: Annotated[int, Field(ge=1, le=65535)]
    data_centre: Name
    rack: Name
    labels: dict[str, str] = Field(default_factory=dict)
    services: Annotated[list[Name], Field(max_length=64)] = []
    slots: Annotated[int, Field(ge=1, le=4096)]
    connections: Annotated[int, Field(ge=1, le=4096)]
    state: InstanceState
    sequence: Annotated[int, Field(ge=0)]

    def to_instance(self) -> Instance:
        """Return the instance that the announcement describes."""
        return Instance(
            instance_id=self.instance_id,
            incarnation=self.incarnation,
            host=str(self.host),
            port=self.port,
            data_centre=self.data_centre,
            rack=self.rack,
            labels=self.labels,
            services=tuple(self.services),
            slots=self.slots,
            connections=self.connections,
            state=self.state,
            sequence=self.sequence,
        )


class AnnouncementHandler(RequestHandler):
    """Answers the announcements of endpoints.

    Parameters
    ----------
    table : AnnouncementTable
        Holds the latest announcement of each instance.
    view : ConfigurationView
        Configuration that contains the pool assignment of each instance.
    data_centre : str
        Data centre of this process; announcements from other ones are refused.
    token : str
        Token that endpoints must present.
    interval_ms : int
        Time until the next announcement is due, in milliseconds.
    on_update : callable
        Called with each instance whose announcement was newer than the one held.
    """

    def __init__(
        self,
        table: AnnouncementTable,
        view: ConfigurationView,
        data_centre: str,
        token: str,
        interval_ms: int,
        on_update: Callable[[Instance], None],
    ):
        self._table = table
        self._view = view
        self._data_centre = data_centre
        self._tokens = {ENDPOINT: token}
        self._interval_ms = interval_ms
        self._on_update = on_update

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one announcement."""
        if token_owner(request, self._tokens) is None:
            detail = "announcements require the token of the endpoints"
            return refuse(RefusalReason.UNAUTHORISED, detail)
        if request.method != "POST" or len(request.segments) != 2:
            return refuse(RefusalReason.NOT_FOUND, "use POST /v1/announcements", 405)
        try:
            body = AnnouncementBody.model_validate_json(request.body)
        except pydantic.ValidationError as exc:
            return refuse(RefusalReason.BAD_REQUEST, _first_error(exc))
        return self._accept(body.to_instance())

    def _accept(self, instance: Instance) -> HttpResponse:
        errors = validate_labels(instance.labels, "labels")
        if errors:
            return refuse(RefusalReason.BAD_REQUEST, str(errors[0]))
        if instance.data_centre != self._data_centre:
            detail = f"this entry instance serves data centre {self._data_centre!r}"
            return refuse(RefusalReason.BAD_REQUEST, detail)
        if self._table.update(instance):
            self._on_update(instance)
        with self._view.changed:
            configuration = self._view.configuration
            known = None
            if configuration is not None:
                known = configuration.instances.get(instance.instance_id)
        return json_response(
            {
                "pool": known.assignment.pool if known else "",
                "epoch": known.assignment.epoch if known else 0,
                "conflict": known.assignment.conflict if known else "",
                "next_ms": self._interval_ms,
            }
        )


def _first_error(exc: pydantic.ValidationError) -> str:
    first_error = exc.errors()[0]
    path = ".".join(str(part) for part in first_error["loc"])
    return f"{path or 'body'}: {first_error['msg']}"
