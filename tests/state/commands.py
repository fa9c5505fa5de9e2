"""Builders of commands for tests of the replicated state."""

from arbutuscleat.wire.gen.ttypes import (
    BeginClaim,
    Change,
    Command,
    ConfigObject,
    LabelsRecord,
)


def labels_change(change_id, name, labels, expected=0, kind="instance"):
    record = LabelsRecord(kind=kind, name=name, labels=labels)
    content = ConfigObject(labels=record)
    digest = f"{name} {sorted(labels.items())} {expected}"
    change = Change(change_id, digest, "test", expected, content)
    return Command(change=change)


def begin_claim(key, claim_id, digest="d"):
    return Command(
        begin_claim=BeginClaim(
            key=key,
            digest=digest,
            owner="e1",
            owner_incarnation="1",
            claim_id=claim_id,
        )
    )
