import type { BurnRateReport, ServiceBurnRates, WindowBurnRate } from './burnRateReport.js';

const PLOT_WIDTH = 420;
const PLOT_HEIGHT = 150;
const MARGIN = 34;
const BAR_HEIGHT = 22;
/** Burn rate at the right end of the bar plot; larger ones are cut off. */
const MAX_PLOTTED_BURN_RATE = 15;

/** Formats a report as a self-contained HTML page. */
export function formatBurnRatePage(report: BurnRateReport, writtenAt: Date): string {
  const missing =
    report.missing.length === 0
      ? ''
      : `<p class="missing">Figures are missing from: ${report.missing.map(escapeHtml).join(', ')}</p>`;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Error budget burn rates</title><style>
body { font: 15px/1.4 sans-serif; margin: 2rem auto; max-width: 940px; color: #222; }
section { border-top: 1px solid #ccc; padding: 0.6rem 0; }
.plots { display: flex; gap: 2rem; flex-wrap: wrap; }
.missing { background: #fde8e8; padding: 0.5rem; }
text { font: 12px sans-serif; fill: #333; }
</style></head><body>
<h1>Error budget burn rates</h1>
<p>Written ${escapeHtml(writtenAt.toISOString())} from ${report.reached.map(escapeHtml).join(', ')}. A burn rate of 1 exhausts the
error budget exactly at the end of the objective's period; a higher rate exhausts it earlier.</p>
${missing}
${report.services.map(formatService).join('\n')}
</body></html>
`;
}

function formatService(service: ServiceBurnRates): string {
  const objective = `${(service.objectiveShare * 100).toString()} % within ${service.withinMilliseconds.toString()} ms`;
  const counts = `${service.answered.toString()} answered, ${service.notRun.toString()} not run, ${service.unknown.toString()} unknown`;
  return `<section><h2>${escapeHtml(service.service)}</h2><p>Objective: ${objective}. ${counts}.</p>
<div class="plots">${burnRatePlot(service.windows)}${latencyPlot(service)}</div></section>`;
}

function burnRatePlot(windows: readonly WindowBurnRate[]): string {
  const height = windows.length * BAR_HEIGHT * 1.5 + MARGIN;
  const scale = (rate: number): number =>
    (Math.min(rate, MAX_PLOTTED_BURN_RATE) / MAX_PLOTTED_BURN_RATE) * (PLOT_WIDTH - 150);
  const bars = windows.map(({ minutes, burnRate, total }, index) => {
    const y = index * BAR_HEIGHT * 1.5 + 6;
    const colour = burnRate > 1 ? '#c0392b' : '#2e7d32';
    const label = total === 0 ? 'no requests' : burnRate.toFixed(2);
    return `<text x="0" y="${(y + 15).toString()}">${minutes.toString()} min</text>
<rect x="60" y="${y.toString()}" width="${Math.max(1, scale(burnRate)).toFixed(1)}" height="${BAR_HEIGHT.toString()}" fill="${colour}"/>
<text x="${(68 + scale(burnRate)).toFixed(1)}" y="${(y + 15).toString()}">${label}</text>`;
  });
  const oneX = (60 + scale(1)).toFixed(1);
  const line = `<line x1="${oneX}" x2="${oneX}" y1="0" y2="${(height - MARGIN).toString()}" stroke="#555" stroke-dasharray="3 3"/>`;
  return svg(
    height,
    `${bars.join('')}${line}<text x="60" y="${(height - 14).toString()}">burn rate by window; dashed: 1</text>`,
  );
}

function latencyPlot(service: ServiceBurnRates): string {
  const largest = Math.max(
    service.withinMilliseconds,
    ...service.latency.map(({ milliseconds }) => milliseconds),
  );
  const x = (index: number): number =>
    MARGIN + (index * (PLOT_WIDTH - 2 * MARGIN)) / (service.latency.length - 1);
  const y = (milliseconds: number): number =>
    PLOT_HEIGHT - MARGIN - (Math.log1p(milliseconds) / Math.log1p(largest)) * (PLOT_HEIGHT - 2 * MARGIN);
  const points = service.latency.map(
    ({ milliseconds }, index) => `${x(index).toFixed(1)},${y(milliseconds).toFixed(1)}`,
  );
  const labels = service.latency.map(({ percentile, milliseconds }, index) => {
    const at = x(index).toFixed(1);
    return `<text x="${at}" y="${(PLOT_HEIGHT - 14).toString()}" text-anchor="middle">p${percentile.toString()}</text>
<text x="${at}" y="${(y(milliseconds) - 8).toFixed(1)}" text-anchor="middle">${milliseconds.toFixed(1)}</text>`;
  });
  const objectiveY = y(service.withinMilliseconds).toFixed(1);
  const line = `<line x1="${MARGIN.toString()}" x2="${(PLOT_WIDTH - MARGIN).toString()}" y1="${objectiveY}" y2="${objectiveY}" stroke="#c0392b" stroke-dasharray="3 3"/>`;
  const curve = `<polyline points="${points.join(' ')}" fill="none" stroke="#1565c0" stroke-width="2"/>`;
  return svg(PLOT_HEIGHT, `${line}${curve}${labels.join('')}`);
}

function svg(height: number, content: string): string {
  const size = `width="${PLOT_WIDTH.toString()}" height="${height.toString()}"`;
  return `<svg xmlns="http://www.w3.org/2000/svg" ${size} viewBox="0 -10 ${PLOT_WIDTH.toString()} ${height.toString()}">${content}</svg>`;
}

function escapeHtml(text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;').replace(/"/g, '&quot;');
}
