"""The body of an operator's change.

The body is validated by pydantic and then converted into the command that is proposed
to the replicated log.
"""

import hashlib
import json
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from arbutuscleat.core import SelectorPurpose
from arbutuscleat.settings.fields import Name, Section
from arbutuscleat.state import LabelKind
from arbutuscleat.wire.gen.ttypes import (
    Change,
    ConfigObject,
    LabelsRecord,
    PoolRecord,
    SelectorRecord,
)

SelectorText = Annotated[str, Field(max_length=1024)]


class PoolContent(Section):
    """The content of a pool in a change."""

    name: Name
    service: Name
    min_available: Annotated[int, Field(ge=0, le=1_000_000)]
    spare: bool = False
    membership: SelectorText


class LabelsContent(Section):
    """The labels of one instance or service in a change."""

    target: LabelKind
    name: Name
    labels: dict[str, str]


class SelectorContent(Section):
    """The content of a stored selector in a change."""

    name: Name
    purpose: SelectorPurpose
    jobs: SelectorText = ""
    instances: SelectorText = ""
    pool: str = ""


class _BodyBase(Section):
    expected_version: Annotated[int, Field(ge=0)]


class PoolBody(_BodyBase):
    """A change of a pool."""

    kind: Literal["pool"]
    content: PoolContent

    def to_object(self) -> ConfigObject:
        """Return the configuration object that the change creates or replaces."""
        content = self.content
        return ConfigObject(
            pool=PoolRecord(
                name=content.name,
                service_name=content.service,
                min_available=content.min_available,
                spare=content.spare,
                membership=content.membership,
            )
        )


class LabelsBody(_BodyBase):
    """A change of labels."""

    kind: Literal["labels"]
    content: LabelsContent

    def to_object(self) -> ConfigObject:
        """Return the configuration object that the change creates or replaces."""
        content = self.content
        return ConfigObject(
            labels=LabelsRecord(
                kind=content.target.value, name=content.name, labels=content.labels
            )
        )


class SelectorBody(_BodyBase):
    """A change of a stored selector."""

    kind: Literal["selector"]
    content: SelectorContent

    def to_object(self) -> ConfigObject:
        """Return the configuration object that the change creates or replaces."""
        content = self.content
        return ConfigObject(
            selector=SelectorRecord(
                name=content.name,
                purpose=content.purpose.value,
                jobs=content.jobs,
                instances=content.instances,
                pool=content.pool,
            )
        )


ChangeBody = Annotated[
    PoolBody | LabelsBody | SelectorBody, Field(discriminator="kind")
]

CHANGE_BODY_ADAPTER: TypeAdapter = TypeAdapter(ChangeBody)


def to_change(
    change_id: str, operator: str, body: PoolBody | LabelsBody | SelectorBody
) -> Change:
    """Return the command that proposes a change.

    The command contains a digest of the canonical JSON of the body, so that the reuse
    of an id with a different body is detected.

    Parameters
    ----------
    change_id : str
        Id of the change.
    operator : str
        Name of the operator.
    body : PoolBody, LabelsBody or SelectorBody
        The validated body.
    """
    content = body.model_dump(mode="json")
    canonical = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return Change(
        change_id=change_id,
        digest=hashlib.sha256(canonical.encode()).hexdigest(),
        operator_name=operator,
        expected_version=body.expected_version,
        content=body.to_object(),
    )
