"""Encoding of host reports: a prefix with the format's version, followed by MessagePack.

Upstreams are named by their cookies, which are shorter than their names and identify
each upstream that gets flows. Numbers are integers in fixed units. Zeros at the end of a
sample are omitted, and what a later version appends is ignored.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec

from banyanline.core.steering.peer_reports import HostReport, ServiceSample, UpstreamSample
from banyanline.core.types import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from banyanline.core.steering.packet import Cookie
    from banyanline.core.types import Seconds, UpstreamName

PREFIX = b"hr\x01"
"""Marks a host report; the last byte is the version of its format."""

MAX_NAME_CHARACTERS = 100
"""Longest accepted name of a host, data centre or service."""

ENDPOINT_BYTES = 6
"""Size of an encoded endpoint: an IPv4 address and a port."""

ENVELOPE_BYTES = 32
"""Upper limit of a report's size without names, endpoints and samples."""

_HUNDREDTHS = 100.0
"""Units per request, per second of age, and per event a second."""

_TENTHS_OF_MS = 10_000.0
"""Units per second of response time."""

_NEVER = -1
"""Encoded age of an event that hasn't happened."""

_UPSTREAM_DEFAULTS = (0, 0, 0, _NEVER, 0, 0, _NEVER, 0)
_SERVICE_DEFAULTS = ("", 0, 0, False)
_ENCODER = msgspec.msgpack.Encoder()

_Count = Annotated[int, msgspec.Meta(ge=0, le=2**32)]
_Age = Annotated[int, msgspec.Meta(ge=_NEVER, le=2**32)]
_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]


class _UpstreamFields(msgspec.Struct, array_like=True):
    """An upstream's sample.

    ``in_flight`` is in hundredths of requests, ages are in hundredths of a second, and
    ``response_time`` is in tenths of a millisecond.
    """

    cookie: _Count = 0
    in_flight: _Count = 0
    open_flows: _Count = 0
    responded_age: _Age = _NEVER
    responses: _Count = 0
    response_time: _Count = 0
    failed_check_age: _Age = _NEVER
    cold_openings: _Count = 0


class _ServiceFields(msgspec.Struct, array_like=True):
    """A service's sample, with rates in hundredths of events a second."""

    service: _Name
    openings: _Count = 0
    refusals: _Count = 0
    is_out_of_reach: bool = False


class _Envelope(msgspec.Struct, array_like=True):
    """A report; ``peers`` are endpoints of 4 bytes of address and 2 of port each."""

    host: _Name
    data_centre: _Name
    start: _Count
    sequence: _Count
    peers: bytes
    services: tuple[_ServiceFields, ...]
    upstreams: tuple[_UpstreamFields, ...]


_DECODER = msgspec.msgpack.Decoder(_Envelope)


class ReceivedReport(NamedTuple):
    """A decoded report, and the endpoints of other hosts that its sender has heard."""

    report: HostReport
    peers: tuple[Endpoint, ...]


class MalformedReport(NamedTuple):
    """Why a datagram is not a valid report."""

    detail: str


class ReportCodec:
    """Encodes and decodes reports with the cookies of the upstreams that this host knows."""

    def __init__(
        self,
        cookie_of: Callable[[UpstreamName], Cookie | None],
        name_of: Callable[[Cookie], UpstreamName | None],
    ) -> None:
        self._cookie_of = cookie_of
        self._name_of = name_of

    def size(self, sample: UpstreamSample | ServiceSample) -> int:
        """Return the size of an encoded sample in bytes."""
        return len(_ENCODER.encode(self._fields(sample)))

    def encode(self, report: HostReport, peers: Sequence[Endpoint]) -> bytes:
        """Encode a report."""
        fields = (
            report.host,
            report.data_centre,
            report.start,
            report.sequence,
            encode_endpoints(peers),
            [self._fields(sample) for sample in report.services],
            [self._fields(sample) for sample in report.upstreams],
        )
        return PREFIX + _ENCODER.encode(fields)

    def decode(self, data: bytes) -> ReceivedReport | MalformedReport:
        """Decode a datagram; upstreams that this host does not know are left out."""
        if not data.startswith(PREFIX):
            return MalformedReport("another format or version")
        try:
            fields = _DECODER.decode(memoryview(data)[len(PREFIX) :])
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return MalformedReport(str(error))
        upstreams = (self._upstream_sample(each) for each in fields.upstreams)
        report = HostReport(
            fields.host,
            fields.data_centre,
            fields.start,
            fields.sequence,
            tuple(_service_sample(each) for each in fields.services),
            tuple(sample for sample in upstreams if sample is not None),
        )
        return ReceivedReport(report, decode_endpoints(fields.peers))

    def _fields(self, sample: UpstreamSample | ServiceSample) -> list[object]:
        if isinstance(sample, ServiceSample):
            return _without_defaults(_service_fields(sample), _SERVICE_DEFAULTS)
        cookie = self._cookie_of(sample.upstream)
        return _without_defaults(_upstream_fields(sample, cookie or 0), _UPSTREAM_DEFAULTS)

    def _upstream_sample(self, fields: _UpstreamFields) -> UpstreamSample | None:
        name = self._name_of(fields.cookie)
        if name is None:
            return None
        return UpstreamSample(
            name,
            fields.in_flight / _HUNDREDTHS,
            fields.open_flows,
            fields.responses,
            fields.response_time / _TENTHS_OF_MS,
            _age_s(fields.responded_age),
            _age_s(fields.failed_check_age),
            fields.cold_openings,
        )


def envelope_bytes(host: str, data_centre: str, peers: int) -> int:
    """Return the size of a report without samples in bytes, at most."""
    names = len(host.encode()) + len(data_centre.encode())
    return len(PREFIX) + ENVELOPE_BYTES + names + ENDPOINT_BYTES * peers


def _upstream_fields(sample: UpstreamSample, cookie: Cookie) -> list[object]:
    return [
        cookie,
        round(sample.in_flight * _HUNDREDTHS),
        sample.open_flows,
        _age(sample.responded_age_s),
        sample.responses,
        round(sample.response_s * _TENTHS_OF_MS),
        _age(sample.failed_check_age_s),
        sample.cold_openings,
    ]


def _service_fields(sample: ServiceSample) -> list[object]:
    return [
        sample.service,
        round(sample.openings_per_s * _HUNDREDTHS),
        round(sample.refusals_per_s * _HUNDREDTHS),
        sample.is_out_of_reach,
    ]


def _service_sample(fields: _ServiceFields) -> ServiceSample:
    return ServiceSample(
        fields.service,
        fields.openings / _HUNDREDTHS,
        fields.refusals / _HUNDREDTHS,
        fields.is_out_of_reach,
    )


def _without_defaults(fields: list[object], defaults: Sequence[object]) -> list[object]:
    """Remove the fields at the end that have their default values."""
    while len(fields) > 1 and fields[-1] == defaults[len(fields) - 1]:
        fields.pop()
    return fields


def _age(age_s: Seconds | None) -> int:
    return _NEVER if age_s is None else round(age_s * _HUNDREDTHS)


def _age_s(age: int) -> Seconds | None:
    return None if age == _NEVER else age / _HUNDREDTHS


def encode_endpoints(endpoints: Sequence[Endpoint]) -> bytes:
    """Encode endpoints, each as 4 bytes of address and 2 of port."""
    return b"".join(
        socket.inet_aton(endpoint.ip) + endpoint.port.to_bytes(2, "big") for endpoint in endpoints
    )


def decode_endpoints(data: bytes) -> tuple[Endpoint, ...]:
    """Decode endpoints; an incomplete one at the end, and those with port 0, are left out."""
    starts = range(0, len(data) - ENDPOINT_BYTES + 1, ENDPOINT_BYTES)
    endpoints = (
        Endpoint(socket.inet_ntoa(data[at : at + 4]), int.from_bytes(data[at + 4 : at + 6], "big"))
        for at in starts
    )
    return tuple(endpoint for endpoint in endpoints if endpoint.port)
