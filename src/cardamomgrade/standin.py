"""Program ``cardamom-standin``: stand-ins for the platform and for endpoints.

Settings: ``[standin] listen`` is the address of the log service, the VM interface and
``POST /faults``; ``[vms]`` lists ``name = kind zone rack ip:port`` for the platform;
``[endpoints]`` lists ``name = ip:port`` of the endpoints that this process runs.
"""

import json
import sys

import attrs

from .errors import SettingsError
from .loop import Loop
from .net import Net, parse_address
from .server import HttpServer, ServerLimits
from .settings import address, name, read_ini
from .standend import EndpointStandin
from .standlog import LogStandin
from .standvms import json_response, KIND_ENDPOINT, KIND_ENTRY, ListedVm, VmStandin

BODY_LIMIT_BYTES = 16 * 1024 * 1024
SECTIONS = ("standin", "vms", "endpoints")


@attrs.frozen
class StandinSettings:
    """Settings of one process; ``listen`` is empty when it serves no platform."""

    listen: str
    vms: tuple
    endpoints: tuple


def load_standin(path):
    """Return the StandinSettings in a file, or raise SettingsError."""
    parser = read_ini(path)
    for section in parser.sections():
        if section not in SECTIONS:
            allowed = ", ".join(SECTIONS)
            raise SettingsError(
                f"{path}: unknown section [{section}]; allowed: {allowed}"
            )
    try:
        listen = parser.get("standin", "listen", fallback="")
        return StandinSettings(
            address(listen) if listen else "",
            tuple(_parse_vm(key, text) for key, text in _section_items(parser, "vms")),
            tuple(
                (name(key), address(text))
                for key, text in _section_items(parser, "endpoints")
            ),
        )
    except ValueError as exc:
        raise SettingsError(f"{path}: {exc}") from exc


def _section_items(parser, section):
    return parser[section].items() if parser.has_section(section) else ()


def _parse_vm(key, text):
    parts = text.split()
    if len(parts) != 4 or parts[0] not in (KIND_ENDPOINT, KIND_ENTRY):
        raise ValueError(
            f"[vms] {key} = {text!r}; allowed: endpoint|entry zone rack ip:port"
        )
    return ListedVm(name(key), parts[0], parts[1], parts[2], address(parts[3]))


class PlatformStandin:
    """Serves the log, the VM interface and ``/faults`` on one address."""

    def __init__(self, loop, net, vms):
        self.log = LogStandin(loop)
        self.vms = VmStandin(loop, net, vms)
        self._server = HttpServer(
            loop, net, self._on_request, ServerLimits(body_bytes=BODY_LIMIT_BYTES)
        )

    def listen(self, host, port):
        """Start serving and return the bound port."""
        return self._server.listen(host, port)

    def _on_request(self, exchange):
        path = exchange.req.path
        if path.startswith("/streams/"):
            self.log.handle(exchange)
        elif path.startswith("/vms"):
            self.vms.handle(exchange)
        elif path == "/faults":
            self._set_faults(exchange)
        else:
            exchange.respond(json_response({"error": "unknown path"}, 404))

    def _set_faults(self, exchange):
        changes = json.loads(exchange.req.body or b"{}")
        current = {}
        for faults in (self.log.faults, self.vms.faults):
            for field in attrs.fields(type(faults)):
                if field.name in changes:
                    setattr(faults, field.name, changes.pop(field.name))
                current[field.name] = getattr(faults, field.name)
        self.log.apply_retention()
        if changes:
            view = {"unknown": sorted(changes), "allowed": sorted(current)}
            exchange.respond(json_response(view, 400))
            return
        current["appends"] = self.log.appends
        exchange.respond(json_response(current))


def main():
    """Run the stand-ins of a settings file until a signal stops the process."""
    if len(sys.argv) != 2:
        sys.exit("usage: cardamom-standin SETTINGS.ini")
    try:
        cfg = load_standin(sys.argv[1])
    except SettingsError as exc:
        sys.exit(str(exc))
    loop = Loop()
    net = Net(loop)
    if cfg.listen:
        platform = PlatformStandin(loop, net, cfg.vms)
        platform.listen(*parse_address(cfg.listen))
    endpoints = [
        EndpointStandin(loop, net, key, parse_address(text))
        for key, text in cfg.endpoints
    ]
    loop.on_stop(loop.finish)
    loop.run()
    endpoints.clear()


if __name__ == "__main__":
    main()
