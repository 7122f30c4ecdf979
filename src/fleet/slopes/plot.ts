/** Draws the sweeps as one SVG: points as they were measured, and the fits through them up to the target. */
import { writeFileSync } from 'node:fs';
import * as echarts from 'echarts';
import type { Fit, RunFile } from './shape.js';

interface Panel {
  readonly title: string;
  readonly sweep: string;
  readonly quantities: readonly string[];
}

/** The panels of the plot. */
export const PANELS: readonly Panel[] = [
  {
    title: 'Bytes a second of a router, by routers',
    sweep: 'routers, 3 cores',
    quantities: ['router.sentBytes', 'router.receivedBytes', 'router.sentBytes.most'],
  },
  {
    title: 'Bytes a second of a core node, by routers',
    sweep: 'routers, 3 cores',
    quantities: ['core.sentBytes', 'core.receivedBytes'],
  },
  {
    title: 'Messages a second, by routers',
    sweep: 'routers, 3 cores',
    quantities: ['router.sentMessages', 'core.sentMessages'],
  },
  {
    title: 'Bytes a second of a router, by engines',
    sweep: 'engines',
    quantities: ['router.sentBytes', 'router.receivedBytes', 'router.sentBytes.most'],
  },
  {
    title: 'Milliseconds of processor a second, by routers',
    sweep: 'processor, 3 cores',
    quantities: ['hollowMillisPerSecond', 'coreMillisPerSecond', 'realMillisPerSecond'],
  },
  {
    title: 'Milliseconds until in force everywhere, by routers',
    sweep: 'routers, 3 cores',
    quantities: ['changeMs', 'healedMs'],
  },
  {
    title: 'Bytes received by a router for each change, by routes',
    sweep: 'items',
    quantities: ['bytesPerChange'],
  },
  {
    title: 'Heap bytes of the index, by shared prefixes',
    sweep: 'index by shared prefixes',
    quantities: ['heap'],
  },
  {
    title: 'Processor µs a request, by engines',
    sweep: 'request by engines',
    quantities: ['processorMicrosPerRequest'],
  },
  { title: 'Heap bytes, by open streams', sweep: 'memory by open streams', quantities: ['heap'] },
];

const WIDTH = 560;
const HEIGHT = 320;
const COLUMNS = 2;

const curve = ({ quadratic, range, target }: Fit): Array<[number, number]> => {
  const to = Math.max(range[1], target?.at ?? 0);
  return Array.from({ length: 41 }, (_, step) => {
    const x = range[0] + ((to - range[0]) * step) / 40;
    return [x, quadratic.reduce((sum, factor, power) => sum + factor * x ** power, 0)];
  });
};

/** Draws the points and fits of a run file. */
export const drawPlot = (file: RunFile, path: string): void => {
  const panels = PANELS.map((panel) => ({
    ...panel,
    fits: panel.quantities.flatMap((quantity) =>
      file.fits.filter((fit) => fit.sweep === panel.sweep && fit.quantity === quantity),
    ),
  })).filter(({ fits }) => fits.length > 0);
  const rows = Math.ceil(panels.length / COLUMNS);
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH * COLUMNS,
    height: HEIGHT * rows,
  });
  const place = (at: number): { left: number; top: number } => ({
    left: (at % COLUMNS) * WIDTH,
    top: Math.floor(at / COLUMNS) * HEIGHT,
  });
  chart.setOption({
    animation: false,
    backgroundColor: '#ffffff',
    title: panels.map(({ title }, at) => ({
      text: title,
      textStyle: { fontSize: 13 },
      left: place(at).left + 12,
      top: place(at).top + 8,
    })),
    grid: panels.map((_, at) => ({
      left: place(at).left + 80,
      top: place(at).top + 56,
      width: WIDTH - 120,
      height: HEIGHT - 100,
    })),
    legend: panels.map(({ fits }, at) => ({
      data: fits.map(({ quantity }) => `${at} ${quantity}`),
      formatter: (name: string) => name.slice(name.indexOf(' ') + 1),
      left: place(at).left + 12,
      top: place(at).top + 28,
      textStyle: { fontSize: 10 },
      itemHeight: 8,
    })),
    xAxis: panels.map((_, at) => ({
      type: 'value',
      gridIndex: at,
      scale: true,
      axisLabel: { fontSize: 9 },
    })),
    yAxis: panels.map((_, at) => ({ type: 'value', gridIndex: at, axisLabel: { fontSize: 9 } })),
    series: panels.flatMap(({ fits }, at) =>
      fits.flatMap((fit) => [
        {
          type: 'scatter',
          name: `${at} ${fit.quantity}`,
          xAxisIndex: at,
          yAxisIndex: at,
          symbolSize: 7,
          data: fit.points.map((point) => [...point]),
        },
        {
          type: 'line',
          name: `${at} ${fit.quantity}`,
          xAxisIndex: at,
          yAxisIndex: at,
          showSymbol: false,
          lineStyle: { width: 1 },
          data: curve(fit),
        },
      ]),
    ),
  });
  writeFileSync(path, chart.renderToSVGString());
  chart.dispose();
};
