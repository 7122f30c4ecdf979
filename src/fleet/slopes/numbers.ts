/** Spreads over nodes, and straight and square fits over the points of a sweep. */
import { PolynomialRegression } from 'ml-regression-polynomial';
import type { Fit, Point, Prediction, Spread } from './shape.js';

const rounded = (value: number): number => Number(value.toPrecision(5));

/** The count, sum, median, most, and the first and ninth tenth of some values. */
export const spreadOf = (values: readonly number[]): Spread => {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number): number =>
    rounded(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
  return {
    count: sorted.length,
    p10: at(0.1),
    median: at(0.5),
    p90: at(0.9),
    most: at(1),
    sum: rounded(sorted.reduce((sum, each) => sum + each, 0)),
  };
};

type Pair = readonly [number, number];

const polynomial = (
  points: readonly Pair[],
  degree: number,
): { coefficients: number[]; value: (x: number) => number; residual: number } => {
  const regression = new PolynomialRegression(
    points.map(([x]) => x),
    points.map(([, y]) => y),
    Math.min(degree, points.length - 1),
  );
  const value = (x: number): number => regression.predict(x);
  const square = points.reduce((sum, [x, y]) => sum + (value(x) - y) ** 2, 0);
  return {
    coefficients: regression.coefficients.map(rounded),
    value,
    residual: rounded(Math.sqrt(square / points.length)),
  };
};

/** Fits a straight and a square line to the points of a sweep. */
export const fitOf = (
  sweep: string,
  quantity: string,
  points: readonly Pair[],
  target: number | undefined,
): Fit => {
  const linear = polynomial(points, 1);
  const quadratic = polynomial(points, 2);
  const xs = points.map(([x]) => x);
  return {
    sweep,
    quantity,
    points: points.map(([x, y]) => [x, rounded(y)] as const),
    range: [Math.min(...xs), Math.max(...xs)],
    linear: linear.coefficients,
    quadratic: quadratic.coefficients,
    linearResidual: linear.residual,
    quadraticResidual: quadratic.residual,
    ...(target === undefined
      ? {}
      : {
          target: {
            at: target,
            linear: rounded(linear.value(target)),
            quadratic: rounded(quadratic.value(target)),
          },
        }),
  };
};

/** Foretells a point from the others alone, by the fit of lower degree that leaves less over. */
export const predict = (
  quantity: string,
  points: readonly Pair[],
  [at, measured]: Pair,
): Prediction => {
  const others = points.filter(([x]) => x !== at);
  const linear = polynomial(others, 1);
  const quadratic = polynomial(others, 2);
  const straight = linear.residual <= 0.02 * Math.max(...others.map(([, y]) => Math.abs(y)), 1e-9);
  const predicted = (straight || others.length < 4 ? linear : quadratic).value(at);
  return {
    quantity,
    at,
    fitted: others.map(([x]) => x),
    predicted: rounded(predicted),
    measured: rounded(measured),
    error: rounded((predicted - measured) / (measured || 1)),
  };
};

/** The quantities of a point that are worth a fit, by name. */
export const quantitiesOf = ({ roles, figures }: Point): Map<string, number> => {
  const found = new Map<string, number>(Object.entries(figures));
  for (const [role, rates] of Object.entries(roles)) {
    if (!rates) continue;
    for (const [name, spread] of Object.entries(rates.all)) {
      found.set(`${role}.${name}`, spread.median);
      found.set(`${role}.${name}.most`, spread.most);
    }
    const calls = new Map<string, number>();
    for (const { call, way, bytes, messages } of rates.byCall) {
      for (const [unit, { sum, count }] of [
        ['bytes', bytes],
        ['messages', messages],
      ] as const) {
        const key = `${role}.${call}.${way}.${unit}`;
        calls.set(key, (calls.get(key) ?? 0) + sum / count);
      }
    }
    for (const [key, mean] of calls) found.set(key, mean);
  }
  return found;
};
