"""Selectors: boolean conditions on labels, in the syntax of Kubernetes.

A selector is a comma-separated list of requirements that must all be met:
``site in (karachi, qasim), tier!=gold, gpu, !drained``.  It is parsed with lark into
an immutable tuple of requirements.
"""

from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from lark import Lark, Transformer
from lark.exceptions import LarkError

from .errors import ValidationError
from .labels import Labels

MAX_SELECTOR_LENGTH = 1024
PARSER_CACHE_SIZE = 4096

_GRAMMAR = r"""
    start: [requirement ("," requirement)*]
    requirement: KEY "in" "(" values ")" -> is_in
        | KEY "notin" "(" values ")" -> not_in
        | KEY ("=="|"=") VALUE -> equals
        | KEY "!=" VALUE -> differs
        | "!" KEY -> absent
        | KEY -> exists
    values: VALUE ("," VALUE)*
    KEY.-1: /[A-Za-z0-9]([A-Za-z0-9._\/-]*[A-Za-z0-9])?/
    VALUE.-2: /[A-Za-z0-9]([A-Za-z0-9._\/-]*[A-Za-z0-9])?/
    %ignore /[ \t]+/
"""


class Operator(Enum):
    """How a requirement tests a label."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    ABSENT = "absent"


@dataclass(frozen=True)
class Requirement:
    """A condition on one label.

    Parameters
    ----------
    key : str
        Key of the label.
    operator : Operator
        How the label is tested.
    values : frozenset of str
        Values that `IN` and `NOT_IN` compare with; empty for other operators.
    """

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Labels) -> bool:
        """Return whether `labels` meet the requirement."""
        if self.operator is Operator.EXISTS:
            return self.key in labels
        if self.operator is Operator.ABSENT:
            return self.key not in labels
        found = labels.get(self.key) in self.values
        return found if self.operator is Operator.IN else not found


@dataclass(frozen=True)
class Selector:
    """A conjunction of requirements; an empty selector matches everything."""

    requirements: tuple[Requirement, ...]

    def matches(self, labels: Labels) -> bool:
        """Return whether `labels` meet every requirement."""
        return all(requirement.matches(labels) for requirement in self.requirements)


class SelectorSyntaxError(ValueError):
    """The text is not a valid selector."""


class _Builder(Transformer):
    """Builds a selector from the parse tree of lark."""

    def start(self, children):
        return Selector(tuple(child for child in children if child is not None))

    def values(self, children):
        return frozenset(str(child) for child in children)

    def is_in(self, children):
        return Requirement(str(children[0]), Operator.IN, children[1])

    def not_in(self, children):
        return Requirement(str(children[0]), Operator.NOT_IN, children[1])

    def equals(self, children):
        return Requirement(str(children[0]), Operator.IN, frozenset([str(children[1])]))

    def differs(self, children):
        values = frozenset([str(children[1])])
        return Requirement(str(children[0]), Operator.NOT_IN, values)

    def absent(self, children):
        return Requirement(str(children[0]), Operator.ABSENT)

    def exists(self, children):
        return Requirement(str(children[0]), Operator.EXISTS)


_PARSER = Lark(_GRAMMAR, parser="lalr", lexer="contextual")


@lru_cache(maxsize=PARSER_CACHE_SIZE)
def parse_selector(text: str) -> Selector:
    """Parse a selector.

    Raises
    ------
    SelectorSyntaxError
        If the text is not a valid selector or is too long.
    """
    if len(text) > MAX_SELECTOR_LENGTH:
        raise SelectorSyntaxError(f"longer than {MAX_SELECTOR_LENGTH} characters")
    try:
        return _Builder().transform(_PARSER.parse(text))
    except LarkError as exc:
        column = getattr(exc, "column", None)
        place = f" at column {column}" if column and column > 0 else ""
        raise SelectorSyntaxError(f"{text!r} is not a selector{place}") from exc


def validate_selector(text: str, source: str) -> list[ValidationError]:
    """Return the syntax error in `text`, or an empty list if it is valid."""
    try:
        parse_selector(text)
    except SelectorSyntaxError as exc:
        return [ValidationError(source, str(exc))]
    return []
