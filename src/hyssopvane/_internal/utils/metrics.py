"""Record metrics with OpenTelemetry and render them for Prometheus."""

from collections.abc import Iterable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

_DURATION_BUCKETS_S = (0.005, 0.02, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0, 600.0)

_TURN_ERROR_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Metrics:
    """Hold the OpenTelemetry instruments of one process."""

    def __init__(self, *, role: str, vm: str) -> None:
        # Not the global registry: the demo runs several roles in one process.
        self._registry = CollectorRegistry()
        self._reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            resource=Resource({"service.name": "hyssopvane"}),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("hyssopvane")
        self._labels = {"role": role, "vm": vm}
        self._requests = meter.create_counter("hyssopvane_requests")
        self._refusals = meter.create_counter("hyssopvane_refusals")
        self._retries = meter.create_counter("hyssopvane_retries")
        self._events = meter.create_counter("hyssopvane_events")
        self._levels = meter.create_gauge("hyssopvane_level")
        self._duration = meter.create_histogram(
            "hyssopvane_request_seconds",
            explicit_bucket_boundaries_advisory=_DURATION_BUCKETS_S,
        )
        self._turn_error = meter.create_histogram(
            "hyssopvane_turn_error_seconds",
            explicit_bucket_boundaries_advisory=_TURN_ERROR_BUCKETS_S,
        )
        self._return_wait = meter.create_histogram(
            "hyssopvane_return_wait_seconds",
            explicit_bucket_boundaries_advisory=_TURN_ERROR_BUCKETS_S,
        )

    def count_request(self, *, service: str, outcome: str) -> None:
        """Count an answered request."""
        self._requests.add(1, {**self._labels, "service": service, "outcome": outcome})

    def count_refusal(self, reason: str) -> None:
        """Count a refusal by its reason."""
        self._refusals.add(1, {**self._labels, "reason": reason})

    def count_retry(self, reason: str) -> None:
        """Count a retry by its reason."""
        self._retries.add(1, {**self._labels, "reason": reason})

    def count_event(self, event: str, amount: int = 1) -> None:
        """Count an event that operators monitor."""
        self._events.add(amount, {**self._labels, "event": event})

    def add(
        self,
        *,
        events: Mapping[str, int],
        refusals: Mapping[str, int],
        retries: Mapping[str, int],
        requests: Mapping[tuple[str, str], int],
        levels: Mapping[str, int],
        durations: Mapping[str, Iterable[float]],
        turn_errors: Mapping[str, Iterable[float]],
        return_waits: Mapping[tuple[str, str], Iterable[float]],
    ) -> None:
        """Add buffered counts and durations; requests are by service and outcome."""
        for event, amount in events.items():
            self._events.add(amount, {**self._labels, "event": event})
        by_reason = ((self._refusals, refusals), (self._retries, retries))
        for counter, amounts in by_reason:
            for reason, amount in amounts.items():
                counter.add(amount, {**self._labels, "reason": reason})
        for (service, outcome), amount in requests.items():
            labels = {**self._labels, "service": service, "outcome": outcome}
            self._requests.add(amount, labels)
        for level, value in levels.items():
            self._levels.set(value, {**self._labels, "level": level})
        for service, seconds in durations.items():
            for duration in seconds:
                self.record_duration(service=service, seconds=duration)
        for service, seconds in turn_errors.items():
            for error_s in seconds:
                # Histograms take no negative amounts.
                wait = "longer" if error_s >= 0 else "shorter"
                labels = {**self._labels, "service": service, "wait": wait}
                self._turn_error.record(abs(error_s), labels)
        for (service, found), seconds in return_waits.items():
            labels = {**self._labels, "service": service, "found": found}
            for wait_s in seconds:
                self._return_wait.record(wait_s, labels)

    def record_duration(self, *, service: str, seconds: float) -> None:
        """Record the time from the head of a request to the last byte of its answer."""
        self._duration.record(seconds, {**self._labels, "service": service})

    def render(self) -> bytes:
        """Return all instruments in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the instruments, so that another role can start in the process."""
        self._provider.shutdown()
