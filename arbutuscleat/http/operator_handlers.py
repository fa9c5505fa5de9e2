"""The operator API: changes of the configuration, and reads of it.

A change is proposed to the replicated log under an id that the operator chooses, so
that it can be sent again safely.  It is in force everywhere once its version is in
force at all entry instances that report.
"""

import threading
from collections.abc import Callable, Mapping
from typing import Any

import pydantic
from returns.result import Failure

from arbutuscleat.core import Outcome, Refusal, RefusalReason, is_name
from arbutuscleat.maintenance import waves
from arbutuscleat.membership import ControlClient, ControlErrorKind
from arbutuscleat.state import FleetConfiguration, LabelKind
from arbutuscleat.web.http_request import HttpRequest
from arbutuscleat.web.http_response import HttpResponse, json_response
from arbutuscleat.web.problem import problem_response, refuse
from arbutuscleat.wire.gen.ttypes import ChangeResult, Command, StatusAnswer

from .auth import token_owner
from .change_body import CHANGE_BODY_ADAPTER, to_change
from .rendering import (
    change_json,
    explain_instance,
    instance_json,
    labels_json,
    node_json,
    pool_json,
    selector_json,
    wave_json,
)
from .request_handler import RequestHandler

PROPOSE_TIMEOUT_SECONDS = 8.0
STATUS_TIMEOUT_SECONDS = 3.0
MAX_REPORT_AGE_MS = 10_000
"""Entry instances with an older report are left out of the `in_force` answer."""

_CHANGE_STATUSES = {"version-conflict": 409, "id-reused": 409, "invalid": 422}


class OperatorHandler(RequestHandler):
    """Base of the operator handlers: authenticates the operator.

    Parameters
    ----------
    tokens : mapping of str to str
        Token of each operator.
    control : ControlClient
        Client of the leading control instance.
    """

    def __init__(self, tokens: Mapping[str, str], control: ControlClient):
        self._tokens = tokens
        self._control = control

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request if it carries the token of an operator."""
        operator = token_owner(request, self._tokens)
        if operator is None:
            return refuse(RefusalReason.UNAUTHORISED, "an operator's token is required")
        return self.answer(request, operator)

    def answer(self, request: HttpRequest, operator: str) -> HttpResponse:
        """Answer an authenticated operator; each subclass overrides this.

        Parameters
        ----------
        request : HttpRequest
            The request.
        operator : str
            Name of the operator.
        """
        raise NotImplementedError

    def leader_status(self, change_id: str) -> StatusAnswer | HttpResponse:
        """Return the status of the leader, or the response to send if there is none.

        Parameters
        ----------
        change_id : str
            Change whose result the status includes; may be empty.
        """
        result = self._control.status(change_id, STATUS_TIMEOUT_SECONDS)
        if isinstance(result, Failure):
            return _no_quorum_response(result.failure().detail, Outcome.NOT_RUN)
        return result.unwrap()


class ChangeHandler(OperatorHandler):
    """Handles ``PUT`` and ``GET /v1/changes/{change_id}``."""

    def answer(self, request: HttpRequest, operator: str) -> HttpResponse:
        """Propose a change, or return the result of one."""
        segments = request.segments
        if len(segments) != 3 or not is_name(segments[2]):
            detail = "use /v1/changes/{change_id} with letters, digits, '.', '_', '-'"
            return refuse(RefusalReason.BAD_REQUEST, detail)
        if request.method == "PUT":
            return self._propose(segments[2], operator, request.body)
        if request.method == "GET":
            return self._show(segments[2])
        return refuse(RefusalReason.BAD_REQUEST, "use PUT or GET", 405)

    def _propose(self, change_id: str, operator: str, body: bytes) -> HttpResponse:
        try:
            change_body = CHANGE_BODY_ADAPTER.validate_json(body)
        except pydantic.ValidationError as exc:
            first_error = exc.errors()[0]
            path = ".".join(str(part) for part in first_error["loc"])
            detail = f"{path or 'body'}: {first_error['msg']}"
            return refuse(RefusalReason.BAD_REQUEST, detail)
        command = Command(change=to_change(change_id, operator, change_body))
        result = self._control.propose(command, PROPOSE_TIMEOUT_SECONDS)
        if isinstance(result, Failure):
            error = result.failure()
            not_proposed = error.kind is ControlErrorKind.NO_QUORUM
            outcome = Outcome.NOT_RUN if not_proposed else Outcome.UNKNOWN
            return _no_quorum_response(error.detail, outcome)
        return _change_response(result.unwrap().change)

    def _show(self, change_id: str) -> HttpResponse:
        status = self.leader_status(change_id)
        if isinstance(status, HttpResponse):
            return status
        if status.change is None:
            detail = f"no change with id {change_id!r} is known"
            return refuse(RefusalReason.NOT_FOUND, detail)
        content = change_json(status.change)
        entries = [node_json(node) for node in status.entries]
        reporting = [node for node in entries if node["age_ms"] < MAX_REPORT_AGE_MS]
        content["in_force"] = {
            node["node_id"]: node["in_force_version"] >= status.change.version
            for node in reporting
        }
        content["in_force_everywhere"] = status.change.accepted and all(
            content["in_force"].values()
        )
        return json_response(content)


class StatusHandler(OperatorHandler):
    """Handles ``GET /v1/status``."""

    def answer(self, request: HttpRequest, operator: str) -> HttpResponse:
        """Return the leader and the version in force at each entry instance."""
        if request.method != "GET":
            return refuse(RefusalReason.BAD_REQUEST, "use GET", 405)
        status = self.leader_status("")
        if isinstance(status, HttpResponse):
            return status
        return json_response(
            {
                "leader": status.leader,
                "term": status.term,
                "commit_index": status.commit_index,
                "version": status.version,
                "entries": [node_json(node) for node in status.entries],
            }
        )


class ConfigurationHandler(OperatorHandler):
    """Handles reads of pools, labels, selectors, waves and instances.

    The answers come from the configuration that this process holds.

    Parameters
    ----------
    tokens : mapping of str to str
        Token of each operator.
    control : ControlClient
        Client of the leading control instance.
    changed : threading.Condition
        Lock that guards the configuration.
    configuration : callable
        Returns the configuration that this process holds, or None.
    """

    def __init__(
        self,
        tokens: Mapping[str, str],
        control: ControlClient,
        changed: threading.Condition,
        configuration: Callable[[], FleetConfiguration | None],
    ):
        super().__init__(tokens, control)
        self._changed = changed
        self._configuration = configuration

    def answer(self, request: HttpRequest, operator: str) -> HttpResponse:
        """Return one object, or all objects of a kind."""
        if request.method != "GET":
            return refuse(
                RefusalReason.BAD_REQUEST,
                "use GET; to change an object, use PUT /v1/changes/{change_id}",
                405,
            )
        with self._changed:
            configuration = self._configuration()
            if configuration is None:
                detail = "this process has no configuration yet"
                return refuse(RefusalReason.NOT_READY, detail)
            content = _find(configuration, request.segments[1:])
        if content is None:
            return refuse(RefusalReason.NOT_FOUND, f"no resource at {request.target!r}")
        return json_response(content)


def _find(configuration: FleetConfiguration, path: list[str]) -> Any:
    """Return the JSON of the object or list at `path`, or None."""
    listing = _LISTINGS.get(path[0])
    if listing is not None and len(path) == 1:
        return {"version": configuration.version, "items": listing(configuration)}
    if path[0] == "pools" and len(path) == 2:
        pool = configuration.pools.get(path[1])
        return pool and pool_json(pool, configuration)
    if path[0] == "waves" and len(path) == 2:
        rule = configuration.selectors.get(path[1])
        return rule and wave_json(rule, configuration)
    if path[0] == "selectors" and len(path) == 2:
        rule = configuration.selectors.get(path[1])
        return rule and selector_json(rule)
    if path[0] == "labels" and len(path) == 3 and path[1] in list(LabelKind):
        label_set = configuration.labels.get((LabelKind(path[1]), path[2]))
        return label_set and labels_json(label_set)
    if path[0] == "instances" and len(path) == 2:
        instance = configuration.instances.get(path[1])
        return instance and explain_instance(instance, configuration)
    return None


_LISTINGS: dict[str, Callable[[FleetConfiguration], list[Any]]] = {
    "pools": lambda cfg: [pool_json(item, cfg) for item in cfg.pools.values()],
    "labels": lambda cfg: [labels_json(item) for item in cfg.labels.values()],
    "selectors": lambda cfg: [selector_json(item) for item in cfg.selectors.values()],
    "waves": lambda cfg: [wave_json(rule, cfg) for rule in waves(cfg)],
    "instances": lambda cfg: [instance_json(i, cfg) for i in cfg.instances.values()],
}


def _change_response(result: ChangeResult) -> HttpResponse:
    content = change_json(result)
    if result.accepted:
        return json_response(content)
    return json_response(content, _CHANGE_STATUSES.get(result.reason, 422))


def _no_quorum_response(detail: str, outcome: Outcome) -> HttpResponse:
    return problem_response(
        Refusal(RefusalReason.NO_QUORUM, outcome, detail, retry_after=1.0)
    )
