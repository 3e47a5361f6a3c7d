"""What a rule was checked on and what broke it; both are printed and written as JSON by their field names."""

from __future__ import annotations

from dataclasses import dataclass, field

TIME_DIGITS = 6  # of a second, as in the record


@dataclass
class Breach:
    """One breach of a rule.

    Attributes:
        t: When, in seconds of the record.
        umpire: The proxy instances that broke it.
        what: What they did, for people.
        reqs: The requests concerned.
    """

    t: float
    umpire: str
    what: str
    reqs: list[str]


@dataclass
class Finding:
    """The result of checking one rule.

    Attributes:
        rule: The rule.
        checked: On how many things it was checked, by their kind.
        breaches: What broke it, none if it was kept.
    """

    rule: str
    checked: dict[str, int] = field(default_factory=dict)
    breaches: list[Breach] = field(default_factory=list)

    def add_breach(self, t: float, instance: str, what: str, *request_ids: str) -> None:
        """Add a breach at a time in seconds."""
        self.breaches.append(Breach(round(t, TIME_DIGITS), instance, what, list(request_ids)))
