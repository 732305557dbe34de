"""Work of accepted jobs that is not done yet, per service; pure state.

Load pattern: the jobs of a queue come in bursts, and each takes seconds. What they have
left to do is known, so that it tells the need of the next seconds better than the rate
at which jobs arrived.
"""

import attrs


@attrs.define
class _Job:
    service: str
    core_ms: float
    objective_ms: float


@attrs.define
class _Sums:
    """Work left, and the same times the objectives of its jobs."""

    core_ms: float = 0.0
    weighted: float = 0.0


class OpenWork:
    """The work left of jobs, by name, in core-ms."""

    def __init__(self):
        self._jobs = {}
        self._services = {}

    def add(self, name, service, core_ms, objective_ms):
        """Add a job with ``core_ms`` left, which is to take ``objective_ms``."""
        self.drop(name)
        self._jobs[name] = job = _Job(service, 0.0, objective_ms)
        self._change(job, core_ms)

    def finish(self, name, core_ms):
        """Subtract work that was done from what its job has left."""
        job = self._jobs.get(name)
        if job is not None:
            self._change(job, -min(core_ms, job.core_ms))

    def drop(self, name):
        """Remove a job that needs no more work."""
        job = self._jobs.pop(name, None)
        if job is not None:
            self._change(job, -job.core_ms)

    def _change(self, job, core_ms):
        job.core_ms += core_ms
        sums = self._services.setdefault(job.service, _Sums())
        sums.core_ms += core_ms
        sums.weighted += core_ms * job.objective_ms

    def core_ms(self, service):
        """Return the work that the jobs of a service have left."""
        return max(0.0, self._services.get(service, _Sums()).core_ms)

    def objective_ms(self, service):
        """Return the mean objective of a service's jobs by the work they have left.

        It is 0 if there is none.
        """
        sums = self._services.get(service, _Sums())
        # The rounding errors of finished jobs are far below 1 core-ms.
        return sums.weighted / sums.core_ms if sums.core_ms > 1 else 0.0
