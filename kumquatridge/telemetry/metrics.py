"""OpenTelemetry instruments of the daemon; docs/METRICS.md lists them.

Decisions only add to plain integers. OpenTelemetry reads them when somebody
scrapes, so that a refusal costs next to nothing under overload.
"""

import collections
from collections.abc import Callable, Iterable, Mapping
import types
from typing import NamedTuple, Self, TypeVar

from opentelemetry import metrics as otel_metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client

from kumquatridge.calls import call as calls
from kumquatridge.calls import refusals
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import gauges

METER_NAME = "kumquatridge"

ReadGauge = Callable[[], float]
ReadLabelledGauge = Callable[[], Mapping[str, float]]
ReadCounter = Callable[[], Mapping[str, int]]


class RefusalKey(NamedTuple):
    """The labels of the refusal counter."""

    reason: str
    service: str
    importance: str


class ServiceKey(NamedTuple):
    """The labels of what is counted by reason and service."""

    reason: str
    service: str


Key = TypeVar("Key", RefusalKey, ServiceKey)


class MetricRecorder:
    """Counts refusals and retries and keeps the latest decisions."""

    def __init__(self, log: decisions.DecisionLog) -> None:
        self._log = log
        self.refusals: collections.Counter[RefusalKey] = collections.Counter()
        self.retries: collections.Counter[ServiceKey] = collections.Counter()
        self.retries_denied: collections.Counter[ServiceKey] = (
            collections.Counter()
        )
        self.rejections: collections.Counter[str] = collections.Counter()
        self.cut_answers: collections.Counter[ServiceKey] = (
            collections.Counter()
        )

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Counts a call that was not run and why."""
        importance = call.chain.importance.name.lower()
        self.refusals[RefusalKey(refusal.code, call.service, importance)] += 1
        self._log.add_refusal(call, refusal)

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts another attempt at a call and why."""
        self.retries[ServiceKey(reason, call.service)] += 1
        self._log.add_retry(call, reason)

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Counts an attempt that would have helped but wasn't allowed."""
        self.retries_denied[ServiceKey(reason, call.service)] += 1

    def record_rejection(self, refusal: refusals.Refusal) -> None:
        """Counts a request that never became a call and why."""
        self.rejections[refusal.code] += 1

    def record_cut_answer(self, call: calls.Call, reason: str) -> None:
        """Counts an answer that was cut off after its head was sent."""
        self.cut_answers[ServiceKey(reason, call.service)] += 1


class MetricExporter:
    """Exposes a recorder and gauges for scraping while its context is open."""

    def __init__(self, recorder: MetricRecorder) -> None:
        self._recorder = recorder
        self._registry = prometheus_client.CollectorRegistry()
        self._provider = sdk_metrics.MeterProvider(
            [
                prometheus.PrometheusMetricReader(
                    scope_info_enabled=False, registry=self._registry
                )
            ],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter(METER_NAME)
        self._create_counters()

    def __enter__(self) -> Self:
        """Returns the exporter."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops exporting."""
        self._provider.shutdown()

    def add_gauge(self, spec: gauges.GaugeSpec, read: ReadGauge) -> None:
        """Exposes the number that `read` returns at each scrape."""

        def observe(
            options: otel_metrics.CallbackOptions,
        ) -> Iterable[otel_metrics.Observation]:
            yield otel_metrics.Observation(read())

        self._meter.create_observable_gauge(
            spec.name, callbacks=[observe], description=spec.description
        )

    def add_labelled_gauge(
        self, spec: gauges.GaugeSpec, read: ReadLabelledGauge
    ) -> None:
        """Exposes the numbers by the one label of a gauge."""
        (label,) = spec.labels

        def observe(
            options: otel_metrics.CallbackOptions,
        ) -> Iterable[otel_metrics.Observation]:
            for value, number in read().items():
                yield otel_metrics.Observation(number, {label: value})

        self._meter.create_observable_gauge(
            spec.name, callbacks=[observe], description=spec.description
        )

    def add_counter(self, spec: gauges.CounterSpec, read: ReadCounter) -> None:
        """Exposes the counts by the one label of a counter."""
        (label,) = spec.labels

        def observe(
            options: otel_metrics.CallbackOptions,
        ) -> Iterable[otel_metrics.Observation]:
            for value, count in read().items():
                yield otel_metrics.Observation(count, {label: value})

        self._meter.create_observable_counter(
            spec.name, callbacks=[observe], description=spec.description
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def _create_counters(self) -> None:
        recorder = self._recorder
        self.add_counter(gauges.REJECTIONS, lambda: recorder.rejections)
        self._add_keyed_counter(gauges.REFUSALS, recorder.refusals)
        self._add_keyed_counter(gauges.RETRIES, recorder.retries)
        self._add_keyed_counter(gauges.RETRIES_DENIED, recorder.retries_denied)
        self._add_keyed_counter(gauges.CUT_ANSWERS, recorder.cut_answers)

    def _add_keyed_counter(
        self, spec: gauges.CounterSpec, counts: Mapping[Key, int]
    ) -> None:
        """Exposes counts by keys that hold all labels of a counter."""

        def observe(
            options: otel_metrics.CallbackOptions,
        ) -> Iterable[otel_metrics.Observation]:
            for key, count in counts.items():
                yield otel_metrics.Observation(count, key._asdict())

        self._meter.create_observable_counter(
            spec.name, callbacks=[observe], description=spec.description
        )
