"""Play the hard cases of two releases at once, many seeds each, and count how often attribution was right.

    python benchmarks/attribution_outcomes.py --seeds 1-100 --out outcomes.json
    python benchmarks/attribution_outcomes.py --seeds 1-10 --sockets shared-dependency one-zone older-bad

Prints a table in Markdown: a row a case, with what two plain rules would have said on the same traffic.
"""

from __future__ import annotations

import json
import os
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from statistics import median

import click
import msgspec

from gullmount.checker import check
from gullmount.checker.attribution_outcome import PROMPT_ROLLBACK, attribution_outcome
from gullmount.scenarios.config import ScenarioConfig
from gullmount.scenarios.loopback import loopback_block
from gullmount.scenarios.runner import run_scenario
from gullmount.yamlfile import read_yaml

CASES = Path(__file__).parent.parent / "days" / "blame"
EXPOSURE_RULE = 4  # place of the checker's finding on exposure
EXPOSURE_FIGURE = "% of a window's reqs at trials together, most"
CORRECTNESS = ("right", "wrong", "unknown")
BASELINES = ("newest", "worst")  # plain rules that attribution is compared with
HEADS = (
    "case",
    "runs",
    *CORRECTNESS,
    "s to the verdict, median",
    f"bad back in {PROMPT_ROLLBACK:.0f} s",
    "a bad one kept",
    "a good one back",
    *(f"{rule} right" for rule in BASELINES),
    "most together, %",
    "rules broken",
)


class CaseResult(msgspec.Struct, frozen=True):
    """One run of a case; builds by number, times in seconds of the scenario.

    Attributes:
        bad: builds that the case degrades.
        good_back: healthy builds that were rolled back.
        bad_kept: degraded builds that were not.
        baselines: the build that each plain rule would have blamed, 0 for none.
        most_exposed_percent: of a window's requests, at all candidates together.
    """

    case: str
    seed: int
    correctness: str = msgspec.field(name="outcome")
    broken_rules: list[str] = msgspec.field(name="broken")
    bad: list[int]
    blamed_at: dict[int, float] = msgspec.field(name="blamed")
    rolled_back_at: dict[int, float] = msgspec.field(name="sent_back")
    onset_at: dict[int, float] = msgspec.field(name="onset")
    good_back: list[int]
    bad_kept: list[int]
    causes: list[str]
    baselines: dict[str, int]
    most_exposed_percent: float = msgspec.field(name="together")

    @property
    def seconds_to_blame(self) -> list[float]:
        """Return the time from each build's onset until it was blamed."""
        return [at - self.onset_at[build] for build, at in self.blamed_at.items() if build in self.onset_at]

    @property
    def seconds_to_rollback(self) -> list[float]:
        """Return the time from each degraded build's onset until it was rolled back."""
        return [
            self.rolled_back_at[build] - self.onset_at[build]
            for build in self.bad
            if build in self.rolled_back_at and build in self.onset_at
        ]

    def is_baseline_right(self, rule: str) -> bool:
        """Return whether a plain rule names exactly what the case degrades, 0 for none."""
        build = self.baselines[rule]
        return ([build] if build else []) == self.bad


def play(case: str, seed: int, virtual: bool) -> CaseResult:
    """Run one case."""
    terms = read_yaml(CASES / f"{case}.yaml", ScenarioConfig)
    about, lines = run_scenario(terms, seed, virtual, loopback_block(os.getpid()))
    events = [json.loads(line) for line in lines.splitlines()]
    findings = check(about, events)
    outcome = attribution_outcome(about, events)
    return CaseResult(
        case=case,
        seed=seed,
        correctness=outcome.correctness,
        broken_rules=[finding.rule for finding in findings if finding.breaches],
        bad=outcome.bad,
        blamed_at=outcome.blamed,
        rolled_back_at=outcome.sent_back,
        onset_at=outcome.onset,
        good_back=outcome.good_back,
        bad_kept=outcome.bad_kept,
        causes=sorted({finding.cause for finding in outcome.said}),
        baselines=outcome.baselines,
        most_exposed_percent=findings[EXPOSURE_RULE].checked.get(EXPOSURE_FIGURE, 0),
    )


def table_row(case: str, results: list[CaseResult]) -> str:
    """Return a case's row of the table."""
    correctness = [result.correctness for result in results]
    seconds_to_blame = [seconds for result in results for seconds in result.seconds_to_blame]
    rollbacks = [seconds for result in results for seconds in result.seconds_to_rollback]
    prompt = sum(seconds <= PROMPT_ROLLBACK for seconds in rollbacks)
    bad = sum(len(result.bad) for result in results)
    cells = [
        case,
        str(len(results)),
        *(str(correctness.count(word)) for word in CORRECTNESS),
        f"{median(seconds_to_blame):.1f}" if seconds_to_blame else "-",
        f"{prompt} of {bad}" if bad else "-",
        str(sum(bool(result.bad_kept) for result in results)) if bad else "-",
        str(sum(bool(result.good_back) for result in results)),
        *(str(sum(result.is_baseline_right(rule) for result in results)) for rule in BASELINES),
        str(max(result.most_exposed_percent for result in results)),
        str(sum(bool(result.broken_rules) for result in results)),
    ]
    return "| " + " | ".join(cells) + " |"


def append_result(path: Path, result: CaseResult) -> None:
    """Add a run's line to a file."""
    with path.open("a") as file:
        file.write(json.dumps(msgspec.to_builtins(result)) + "\n")


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.argument("cases", nargs=-1)
@click.option("--seeds", default="1-8", show_default=True, help="First and last, as 1-100.")
@click.option("--sockets", is_flag=True, help="On loopback sockets in real time, one at a time.")
@click.option("--out", type=click.Path(path_type=Path), default=None, help="Each run as a JSON line.")
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True)
def main(cases: tuple[str, ...], seeds: str, sockets: bool, out: Path | None, jobs: int) -> None:
    """Play the CASES of days/blame, all if none is named."""
    first, _, last = seeds.partition("-")
    names = list(cases) or sorted(path.stem for path in CASES.glob("*.yaml"))
    wanted = [(case, seed) for seed in range(int(first), int(last or first) + 1) for case in names]
    results: list[CaseResult] = []
    with ProcessPoolExecutor(1 if sockets else jobs) as executor:
        futures = [executor.submit(play, case, seed, not sockets) for case, seed in wanted]
        for future in as_completed(futures):
            results.append(future.result())
            if out is not None:
                append_result(out, results[-1])
            click.echo(f"\r{len(results)} of {len(wanted)}", nl=False, err=True)
    click.echo(err=True)
    print("| " + " | ".join(HEADS) + " |")
    print("|" + " --- |" * len(HEADS))
    for case in names:
        print(table_row(case, [result for result in results if result.case == case]))


if __name__ == "__main__":
    main()
