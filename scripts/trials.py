"""Compares variants of the program on the same days of the users' bench.

Usage: trials.py --bench PROGRAM --site FILE --day NAME --seed N --variant NAME=REV ...

A variant is a commit, and optionally mechanisms to switch off: ``calm=HEAD,lookahead``.
The first variant is the one that the others are compared with. Each variant is played
in a clone of its own under ``--work``, on every day of every site with every seed.
``plays.csv`` there gets a row for each play; plays that have a row are not repeated, so
that a run that was broken off goes on where it was. Entries that the bench leaves in
the clones' journals are copied to the journal of this checkout.

At the end ``differences.md``, ``differences.csv`` and ``differences.png`` compare plays
of the same site, day and seed. Intervals are 95% bootstrap intervals of the mean.
"""

import csv
import json
import random
import re
import shutil
import subprocess
import sys
from concurrent.futures import as_completed, ThreadPoolExecutor
from pathlib import Path
from statistics import mean

import attrs
import click

ROOT = Path(__file__).resolve().parent.parent
DEPLOY_FILE = Path("deploy/system.toml")
PROGRAM_LINE = re.compile(r'^(run = "python3 bin/cardamom_jobs\.py)', re.MULTILINE)
RESAMPLES = 2000
RESAMPLING_SEED = 1
INTERVAL = 0.95
PLAY_TIMEOUT_S = 1800

# Names in the bench's report of the measures that are compared.
PRICE_NAMES = {
    "vm_s": "seconds of machines in pools",
    "moves": "machines moved",
    "platform_calls": "cloud calls",
    "wasted_core_s": "core-seconds of work thrown away",
}
WORST_WINDOWS = "worst windows"
MEASURES = ("worth", "served", "worst_windows", *PRICE_NAMES, "broken_rules")
KEY_FIELDS = ("variant", "site", "day", "seed")


@attrs.frozen
class Variant:
    """A commit to play, with the mechanisms in ``disabled`` switched off."""

    name: str
    rev: str
    disabled: tuple = ()


@attrs.frozen
class Case:
    """A day of a site with a seed; ``site`` is the path of its file."""

    site: Path
    day: str
    seed: int

    @property
    def key(self):
        """The values of a row that identify the case."""
        return (self.site.stem, self.day, str(self.seed))


def parse_variant(text):
    """Return the Variant of ``NAME=REV[,MECHANISM...]``; raise BadParameter."""
    name, equals, rest = text.partition("=")
    rev, *disabled = rest.split(",")
    if not (name and equals and rev):
        raise click.BadParameter(f"{text!r} is not NAME=REV[,MECHANISM...]")
    return Variant(name, rev, tuple(disabled))


def measures(report):
    """Return a dict of the MEASURES in a report of the bench."""
    amounts = {name: amount for name, amount, _ in report["prices"]}
    parts = {name: value for name, _, value in report["parts"]}
    found = {name: amounts.get(price, 0) for name, price in PRICE_NAMES.items()}
    return {
        "worth": report["G"],
        "served": report["served"],
        "worst_windows": parts.get(WORST_WINDOWS, 0),
        **found,
        "broken_rules": sum(report["breaks"].values()),
    }


def make_clone(variant, work):
    """Return the clone of a variant, made if it is not there, and prepared."""
    clone = work / variant.name
    if not clone.exists():
        subprocess.run(["git", "clone", "-q", ROOT, clone], check=True)
    git = ["git", "-C", clone]
    subprocess.run([*git, "fetch", "-q", "origin"], check=True)
    commit = subprocess.run(
        ["git", "-C", ROOT, "rev-parse", variant.rev],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    subprocess.run([*git, "checkout", "-q", "--force", commit], check=True)
    if variant.disabled:
        path = clone / DEPLOY_FILE
        options = "".join(f" --disable {name}" for name in variant.disabled)
        text, count = PROGRAM_LINE.subn(rf"\1{options}", path.read_text())
        if count != 1:
            raise click.ClickException(f"{DEPLOY_FILE} of {variant.name} has no run")
        path.write_text(text)
    return clone


def play(bench, clone, variant, case, charge_cpu):
    """Play a case in the clone of a variant; return its row for ``plays.csv``."""
    report = clone.parent / "reports" / f"{'-'.join((variant.name, *case.key))}.json"
    report.parent.mkdir(exist_ok=True)
    command = [bench, "run", case.site, case.day, "--seed", str(case.seed)]
    command += ["--report", report, "--why", f"trial of {variant.name}"]
    if not charge_cpu:
        command.append("--no-cpu")
    done = subprocess.run(
        command, cwd=clone, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S
    )
    if not report.exists():
        raise click.ClickException(f"no report of {case}: {done.stdout[-500:]}")
    row = dict(zip(KEY_FIELDS, (variant.name, *case.key), strict=True))
    return row | measures(json.loads(report.read_text()))


def read_rows(path):
    """Return the rows of ``plays.csv``, with its measures as numbers."""
    if not path.exists():
        return []
    with path.open(newline="") as file:
        rows = list(csv.DictReader(file))
    for row in rows:
        row.update({name: float(row[name]) for name in MEASURES})
    return rows


def append_row(path, row):
    """Append a row to ``plays.csv``, with a header if it is the first."""
    is_new = not path.exists()
    with path.open("a", newline="") as file:
        writer = csv.DictWriter(file, (*KEY_FIELDS, *MEASURES))
        if is_new:
            writer.writeheader()
        writer.writerow(row)


def interval(values):
    """Return the ends of the bootstrap interval of the mean of some numbers."""
    rng = random.Random(RESAMPLING_SEED)
    means = sorted(mean(rng.choices(values, k=len(values))) for _ in range(RESAMPLES))
    skipped = int(RESAMPLES * (1 - INTERVAL) / 2)
    return means[skipped], means[-skipped - 1]


def compare(rows, variants):
    """Yield a row for each site, other variant and measure, paired by day and seed.

    The site ``all`` has the cases of all sites together.
    """
    by_variant = {item.name: {} for item in variants}
    for row in rows:
        if row["variant"] in by_variant:
            key = tuple(row[name] for name in KEY_FIELDS[1:])
            by_variant[row["variant"]][key] = row
    first, *others = by_variant.items()
    sites = sorted({key[0] for key in first[1]})
    for site in (*sites, "all") if len(sites) > 1 else sites:
        for name, found in others:
            keys = [
                key for key in found.keys() & first[1].keys() if site in ("all", key[0])
            ]
            for measure in MEASURES if keys else ():
                before = [first[1][key][measure] for key in sorted(keys)]
                after = [found[key][measure] for key in sorted(keys)]
                pairs = zip(before, after, strict=True)
                low, high = interval([new - old for old, new in pairs])
                yield {
                    "site": site,
                    "variant": name,
                    "measure": measure,
                    "plays": len(keys),
                    first[0]: round(mean(before), 4),
                    "mean": round(mean(after), 4),
                    "difference": round(mean(after) - mean(before), 4),
                    "low": round(low, 4),
                    "high": round(high, 4),
                }


def markdown(differences):
    """Return a Markdown table of the rows of ``compare``."""
    names = list(differences[0])
    lines = [names, ["---"] * len(names)]
    lines += [[str(value) for value in row.values()] for row in differences]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines) + "\n"


def plot(differences, path):
    """Draw the differences of worth with their intervals, if matplotlib is there."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        click.echo("matplotlib is not installed: no plot", err=True)
        return
    rows = [row for row in differences if row["measure"] == "worth"]
    figure = Figure(figsize=(7, 1 + 0.4 * len(rows)), layout="constrained")
    axes = figure.add_subplot()
    middles = [row["difference"] for row in rows]
    below = [row["difference"] - row["low"] for row in rows]
    above = [row["high"] - row["difference"] for row in rows]
    labels = [f"{row['variant']}, {row['site']}" for row in rows]
    axes.errorbar(middles, labels, xerr=(below, above), fmt="o", capsize=3)
    axes.axvline(0, color="grey", linewidth=0.8)
    axes.set_xlabel("difference of worth, with its 95% interval")
    figure.savefig(path)


def write_comparison(rows, variants, work):
    """Write the comparison of the plays so far, and print its table."""
    differences = list(compare(rows, variants))
    if not differences:
        return
    with (work / "differences.csv").open("w", newline="") as file:
        writer = csv.DictWriter(file, list(differences[0]))
        writer.writeheader()
        writer.writerows(differences)
    table = markdown(differences)
    (work / "differences.md").write_text(table)
    plot(differences, work / "differences.png")
    click.echo(table)


def collect_journal(clones):
    """Copy new entries of the clones' journals to the journal of this checkout."""
    for clone in clones:
        shutil.copytree(
            clone / "journal",
            ROOT / "journal",
            dirs_exist_ok=True,
            ignore=lambda folder, names: [
                name for name in names if (Path(folder) / name).is_symlink()
            ],
        )


@click.command(help=__doc__)
@click.option("--bench", required=True, type=click.Path(path_type=Path))
@click.option(
    "--site", "sites", multiple=True, required=True, type=click.Path(path_type=Path)
)
@click.option("--day", "days", multiple=True, required=True)
@click.option("--seed", "seeds", multiple=True, required=True, type=int)
@click.option("--variant", "texts", multiple=True, required=True)
@click.option("--work", required=True, type=click.Path(path_type=Path))
@click.option("--jobs", default=2, show_default=True, help="Plays at the same time.")
@click.option("--charge-cpu", is_flag=True, help="Charge processor time; less exact.")
def main(bench, sites, days, seeds, texts, work, jobs, charge_cpu):
    """Play what is missing, then write the comparison."""
    variants = [parse_variant(text) for text in texts]
    bench, work = bench.resolve(), work.resolve()
    work.mkdir(parents=True, exist_ok=True)
    path = work / "plays.csv"
    played = {tuple(row[name] for name in KEY_FIELDS) for row in read_rows(path)}
    cases = [
        Case(site.resolve(), day, seed)
        for seed in seeds
        for day in days
        for site in sites
    ]
    missing = [
        (variant, case)
        for case in cases
        for variant in variants
        if (variant.name, *case.key) not in played
    ]
    names = {variant.name for variant, _ in missing}
    clones = {
        item.name: make_clone(item, work) for item in variants if item.name in names
    }
    failed = 0
    with ThreadPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(play, bench, clones[item.name], item, case, charge_cpu)
            for item, case in missing
        ]
        for count, fut in enumerate(as_completed(futures), 1):
            try:
                row = fut.result()
            except (click.ClickException, subprocess.TimeoutExpired) as exc:
                failed += 1
                click.echo(f"{count} of {len(futures)}: {exc}", err=True)
                continue
            append_row(path, row)
            shown = " ".join(str(row[name]) for name in (*KEY_FIELDS, "worth"))
            click.echo(f"{count} of {len(futures)}: {shown}", err=True)
    collect_journal(clones.values())
    write_comparison(read_rows(path), variants, work)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
