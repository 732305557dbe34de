"""Checks that all jobs of the demo are completed, and prints their numbers.

Usage: demo_jobs.py LIST.json EXPECTED: the output of ``cardamomctl job list --json``
and the number of jobs. Exits with 1 unless exactly that many jobs are listed and all
of them are completed.
"""

import json
import sys
from pathlib import Path


def main(path, expected):
    """Print the numbers of completed jobs and tasks; return the exit status."""
    jobs = json.loads(Path(path).read_text())
    completed = [item for item in jobs if item["state"] == "completed"]
    tasks = sum(item["done"] for item in completed)
    print(f"jobs completed: {len(completed)} of {expected}, {tasks} tasks done")
    return 0 if len(completed) == len(jobs) == expected else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], int(sys.argv[2])))
