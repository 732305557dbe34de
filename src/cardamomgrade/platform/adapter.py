"""Interface of the platform to a node: creates clients, decodes and encodes records."""

from . import ingress, records
from .executor import ExecutorClient
from .machines import MachinesClient
from .store import (
    TOPIC_EXECUTORS,
    TOPIC_JOBS,
    TOPIC_OPERATOR,
    TOPIC_STATUS,
    TopicClient,
)


class Platform:
    """Creates the clients for the platform whose addresses the settings give."""

    ready_path = ingress.READY_PATH
    decode_call = staticmethod(ingress.decode_call)
    decode_job = staticmethod(ingress.decode_job)
    decode_key = staticmethod(ingress.decode_key)
    encode_answer = staticmethod(ingress.encode_answer)
    bad_request = staticmethod(ingress.bad_request)
    decode_config = staticmethod(records.decode_config)
    decode_executor = staticmethod(records.decode_executor)
    decode_wave = staticmethod(records.decode_wave)
    encode_wave_status = staticmethod(records.encode_wave_status)
    key_config = records.KEY_CONFIG
    prefix_wave = records.PREFIX_WAVE

    def __init__(self, loop, net, cfg):
        self._loop = loop
        self._net = net
        self._cfg = cfg

    def _topic(self, name):
        return TopicClient(self._loop, self._net, self._cfg.store, name)

    def jobs_topic(self):
        """Return a client of the topic with the jobs and their progress."""
        return self._topic(TOPIC_JOBS)

    def operator_topic(self):
        """Return a client of the topic to which operators write."""
        return self._topic(TOPIC_OPERATOR)

    def executors_topic(self):
        """Return a client of the topic to which executors write their registrations."""
        return self._topic(TOPIC_EXECUTORS)

    def status_topic(self):
        """Return a client of the topic with the states of waves, for operators."""
        return self._topic(TOPIC_STATUS)

    def executor(self, entry, token):
        """Return a client of one incarnation of an executor with a fencing token."""
        return ExecutorClient(self._loop, self._net, entry, token)

    def machines(self, epoch):
        """Return a client of the platform's VM interface under a scheduler's epoch."""
        return MachinesClient(
            self._loop, self._net, self._cfg.machines, self._cfg.node, epoch
        )
