"""The configuration document that the operators of a run publish, and its changes."""

from __future__ import annotations

import json
from typing import Any

from bench.addresses import AddressPlan
from bench.deployments import CONNECTIONS, Deployment, service_routes
from bench.upstream import UpstreamSpec

IDLE_TIMEOUT_S = 300.0


class ConfigurationDocument:
    """The document of ``docs/design/protocols.md``; each change raises its revision."""

    def __init__(
        self, deployment: Deployment, plan: AddressPlan, specs: list[UpstreamSpec]
    ) -> None:
        self._revision = 1
        self._deployment = deployment
        self._plan = plan
        self._patience_s = deployment.patience_s
        self._upstreams = {spec.name: spec for spec in specs}
        self._leaving: set[str] = set()
        self._out: set[str] = set()

    @property
    def revision(self) -> int:
        """The revision of the document as it stands."""
        return self._revision

    @property
    def leaving(self) -> frozenset[str]:
        """Names of upstreams that are leaving."""
        return frozenset(self._leaving)

    @property
    def out(self) -> frozenset[str]:
        """Names of data centres that are out of service."""
        return frozenset(self._out)

    def add_upstream(self, spec: UpstreamSpec) -> None:
        """Add an upstream, or put a leaving one back in service."""
        self._revision += 1
        self._upstreams[spec.name] = spec
        self._leaving.discard(spec.name)

    def set_leaving(self, name: str) -> None:
        """Let an upstream leave."""
        self._revision += 1
        self._leaving.add(name)

    def remove_upstream(self, name: str) -> None:
        """Take an upstream out of the document."""
        self._revision += 1
        self._leaving.discard(name)
        del self._upstreams[name]

    def set_out(self, data_centre: str) -> None:
        """Take a data centre out of service."""
        self._revision += 1
        self._out.add(data_centre)

    def set_in_service(self, data_centre: str) -> None:
        """Bring a data centre back into service."""
        self._revision += 1
        self._out.discard(data_centre)

    def touch(self) -> None:
        """Raise the revision without any other change."""
        self._revision += 1

    def encode(self) -> bytes:
        """Return the JSON document."""
        deployment = self._deployment
        document = {
            "schema_version": 1,
            "revision": self._revision,
            "data_centres": [
                {"name": name, "state": "out" if name in self._out else "in_service"}
                for name in deployment.data_centres
            ],
            "caller_groups": [
                {
                    "name": deployment.caller_group,
                    "networks": [self._plan.caller_network],
                    "time_zone": deployment.time_zone,
                    "default_patience_s": self._patience_s,
                    "windows": [],
                }
            ],
            "services": self._services(),
        }
        return json.dumps(document).encode()

    def _services(self) -> list[dict[str, Any]]:
        routes = service_routes(self._deployment, self._plan)
        sizes = self._deployment.services
        return [
            {
                "name": route.name,
                "address": f"{route.address[0]}:{route.address[1]}",
                "host_port": route.host_port,
                "protocol": size.protocol,
                "idle_timeout_s": IDLE_TIMEOUT_S,
                "health_path": "health",
                "cold_start": {
                    "duration_s": self._deployment.cold_start_s,
                    "initial_slots": 1,
                    "initial_rate": 5.0,
                },
                "upstreams": [
                    self._upstream(spec)
                    for spec in self._upstreams.values()
                    if spec.service == route.name
                ],
            }
            for route, size in zip(routes, sizes, strict=True)
        ]

    def _upstream(self, spec: UpstreamSpec) -> dict[str, Any]:
        return {
            "name": spec.name,
            "data_centre": spec.data_centre,
            "address": f"{spec.address[0]}:{spec.address[1]}",
            "state": "leaving" if spec.name in self._leaving else "in_service",
            "slots": spec.slots,
            "connections": CONNECTIONS,
        }
