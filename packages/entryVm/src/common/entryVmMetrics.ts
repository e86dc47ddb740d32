import { build, type Histogram } from 'hdr-histogram-js';

/** Label names and values of a metric. */
export type MetricLabels = Readonly<Record<string, string>>;

const QUANTILES = [50, 90, 99, 99.9] as const;
const MAX_MILLISECONDS = 60_000;

/** Counters, gauges and latency histograms of the process, in the Prometheus text format. */
export class EntryVmMetrics {
  readonly #counters = new Map<string, Map<string, number>>();
  readonly #histograms = new Map<string, Map<string, Histogram>>();
  readonly #gauges = new Map<string, () => number>();
  readonly #gaugesByLabel = new Map<string, { label: string; read: () => ReadonlyMap<string, number> }>();

  count(name: string, labels: MetricLabels = {}, increment = 1): void {
    const series = seriesOf(this.#counters, name);
    const key = formatLabels(labels);
    series.set(key, (series.get(key) ?? 0) + increment);
  }

  recordMilliseconds(name: string, labels: MetricLabels, milliseconds: number): void {
    const series = seriesOf(this.#histograms, name);
    const key = formatLabels(labels);
    const histogram =
      series.get(key) ??
      build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_MILLISECONDS,
        numberOfSignificantValueDigits: 2,
      });
    series.set(key, histogram);
    histogram.recordValue(Math.min(MAX_MILLISECONDS, Math.max(1, Math.round(milliseconds))));
  }

  /** Sets a counter that is kept elsewhere. */
  setCounter(name: string, labels: MetricLabels, value: number): void {
    seriesOf(this.#counters, name).set(formatLabels(labels), value);
  }

  /** @param read called whenever the metrics are rendered. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** @param read called whenever the metrics are rendered; returns the values by the value of the label. */
  gaugeByLabel(name: string, label: string, read: () => ReadonlyMap<string, number>): void {
    this.#gaugesByLabel.set(name, { label, read });
  }

  render(): string {
    const lines: string[] = [];
    for (const [name, series] of this.#counters) {
      lines.push(`# TYPE ${name} counter`);
      for (const [labels, value] of series) {
        lines.push(`${name}${inBraces(labels)} ${value.toString()}`);
      }
    }
    for (const [name, read] of this.#gauges) {
      lines.push(`# TYPE ${name} gauge`, `${name} ${read().toString()}`);
    }
    for (const [name, { label, read }] of this.#gaugesByLabel) {
      lines.push(`# TYPE ${name} gauge`);
      for (const [value, number] of read()) {
        lines.push(`${name}${inBraces(formatLabels({ [label]: value }))} ${number.toString()}`);
      }
    }
    for (const [name, series] of this.#histograms) {
      lines.push(`# TYPE ${name} summary`);
      for (const [labels, histogram] of series) {
        for (const quantile of QUANTILES) {
          const quantileLabel = `quantile="${(quantile / 100).toString()}"`;
          const allLabels = labels === '' ? quantileLabel : `${labels},${quantileLabel}`;
          lines.push(`${name}{${allLabels}} ${histogram.getValueAtPercentile(quantile).toString()}`);
        }
        lines.push(`${name}_count${inBraces(labels)} ${histogram.totalCount.toString()}`);
      }
    }
    return `${lines.join('\n')}\n`;
  }
}

/** Values of a metric by their labels. */
function seriesOf<Value>(metrics: Map<string, Map<string, Value>>, name: string): Map<string, Value> {
  let series = metrics.get(name);
  if (series === undefined) {
    series = new Map();
    metrics.set(name, series);
  }
  return series;
}

function formatLabels(labels: MetricLabels): string {
  let text = '';
  for (const name of Object.keys(labels)) {
    const value = labels[name] ?? '';
    const quoted = /^[\w.-]*$/.test(value) ? `"${value}"` : JSON.stringify(value);
    text += `${text === '' ? '' : ','}${name}=${quoted}`;
  }
  return text;
}

function inBraces(labels: string): string {
  return labels === '' ? '' : `{${labels}}`;
}
