"""OpenTelemetry instruments of a daemon; docs/METRICS.md lists them."""

from collections.abc import Callable, Iterable, Mapping
import types
from typing import Self

from opentelemetry import metrics as otel_metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client

from kumquatridge.telemetry import metric_recorder
from kumquatridge.telemetry import metric_specs

METER_NAME = "kumquatridge"

ReadGauge = Callable[[], float]
ReadLabelledGauge = Callable[[], Mapping[str, float]]
ReadCounter = Callable[[], Mapping[str, int]]


class MetricExporter:
    """Exposes counters, gauges and histograms while its context is open."""

    def __init__(self, recorder: metric_recorder.MetricRecorder) -> None:
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
        """Returns this exporter."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Shuts the meter provider down."""
        self._provider.shutdown()

    def add_gauge(self, spec: metric_specs.GaugeSpec, read: ReadGauge) -> None:
        """Exposes a gauge whose value `read` returns at each scrape."""

        def observe(
            options: otel_metrics.CallbackOptions,
        ) -> Iterable[otel_metrics.Observation]:
            yield otel_metrics.Observation(read())

        self._meter.create_observable_gauge(
            spec.name, callbacks=[observe], description=spec.description
        )

    def add_labelled_gauge(
        self, spec: metric_specs.GaugeSpec, read: ReadLabelledGauge
    ) -> None:
        """Exposes a gauge with one label.

        `read` returns values by label value at each scrape.
        """
        (label,) = spec.labels

        def observe(
            options: otel_metrics.CallbackOptions,
        ) -> Iterable[otel_metrics.Observation]:
            for label_value, value in read().items():
                yield otel_metrics.Observation(value, {label: label_value})

        self._meter.create_observable_gauge(
            spec.name, callbacks=[observe], description=spec.description
        )

    def add_counter(
        self, spec: metric_specs.CounterSpec, read: ReadCounter
    ) -> None:
        """Exposes a counter with one label.

        `read` returns counts by label value at each scrape.
        """
        (label,) = spec.labels

        def observe(
            options: otel_metrics.CallbackOptions,
        ) -> Iterable[otel_metrics.Observation]:
            for label_value, count in read().items():
                yield otel_metrics.Observation(count, {label: label_value})

        self._meter.create_observable_counter(
            spec.name, callbacks=[observe], description=spec.description
        )

    def add_answer_counter(
        self, counts_by_key: Mapping[metric_recorder.AnswerKey, int]
    ) -> None:
        """Exposes the counter of answers by status and service.

        `counts_by_key` is read at each scrape.
        """
        self._add_keyed_counter(metric_specs.ANSWERS, counts_by_key)

    def make_histogram(
        self, spec: metric_specs.HistogramSpec
    ) -> otel_metrics.Histogram:
        """Creates a histogram that is exposed at each scrape."""
        return self._meter.create_histogram(
            spec.name,
            description=spec.description,
            explicit_bucket_boundaries_advisory=spec.bounds,
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text exposition format."""
        return prometheus_client.generate_latest(self._registry)

    def _create_counters(self) -> None:
        recorder = self._recorder
        self.add_counter(metric_specs.REJECTIONS, lambda: recorder.rejections)
        self._add_keyed_counter(metric_specs.REFUSALS, recorder.refusals)
        self._add_keyed_counter(metric_specs.RETRIES, recorder.retries)
        self._add_keyed_counter(
            metric_specs.RETRIES_DENIED, recorder.retries_denied
        )
        self._add_keyed_counter(
            metric_specs.CUT_ANSWERS, recorder.truncated_answers
        )

    def _add_keyed_counter(
        self,
        spec: metric_specs.CounterSpec,
        counts_by_key: Mapping[metric_recorder.KeyT, int],
    ) -> None:
        """Exposes a counter; each key holds the values of all its labels.

        `counts_by_key` is read at each scrape, so it has to be the mapping that
        the recorder updates, not a copy.
        """

        def observe(
            options: otel_metrics.CallbackOptions,
        ) -> Iterable[otel_metrics.Observation]:
            for key, count in counts_by_key.items():
                yield otel_metrics.Observation(count, key._asdict())

        self._meter.create_observable_counter(
            spec.name, callbacks=[observe], description=spec.description
        )
