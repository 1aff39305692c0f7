/**
 * Estimates how many nested calls of each route one request of each route makes.
 *
 * A nested call carries no reference to its parent request. The sidecar of the server counts the requests
 * that the server starts and the requests that its instance sends, in short intervals, and fits the ratios to
 * these counts by least squares. Only routes that guards have reported as nested are fitted: requests of callers
 * follow the same daily variation and would correlate as well.
 *
 * When a service deep in the call tree is overloaded, the entries need these ratios to know which requests
 * of their callers reach it.
 */

/** Long enough that most calls are counted in the interval in which their parent starts, or the next one. */
export const sampleIntervalMs = 250;
/** Decay of past counts per interval; their half-life is about ten seconds. */
const decayFactor = 0.9825;
/** Intervals needed before the ratios are significant. */
const minIntervals = 4;
/**
 * A ratio keeps at least this fraction of its value per interval. A request whose calls fail ends early and
 * makes fewer calls, but a request that is to succeed still needs all of them.
 */
const minRatioRetention = 0.997;
/** A ratio below `minRatio` or below this many times its standard error counts as noise. */
const minRatio = 0.4;
const minStandardErrors = 3;
/** Number of parent routes, and of called routes, in a fit; the busiest are used. */
const maxRoutes = 12;

type Counts = Map<string, number>;

/**
 * Exponentially decayed sums over the intervals. The keys of `products` are `x` with two inbound routes, `y`
 * with an inbound and an outbound route, and `z` with an outbound route (its squared count).
 */
type Moments = {
	readonly products: Map<string, number>;
	readonly inboundMeans: Counts;
	readonly outboundMeans: Counts;
	intervals: number;
};

export class CallRatioEstimator {
	/**
	 * @example
	 * const estimator = CallRatioEstimator.create();
	 * estimator.recordInbound('r-orders', nowMs);
	 * estimator.recordOutbound('r-prices', nowMs);
	 * const ratio = estimator.readRatio('r-orders', 'r-prices');
	 */
	static create(): CallRatioEstimator {
		return new CallRatioEstimator();
	}

	#inbound: Counts = new Map();
	#outbound: Counts = new Map();
	#interval = -1;
	readonly #moments: Moments = {
		products: new Map(),
		inboundMeans: new Map(),
		outboundMeans: new Map(),
		intervals: 0,
	};

	/** Nested calls per request, by the route of the parent, then by the route of the calls. */
	#ratios = new Map<string, Map<string, number>>();
	readonly #isNestedByRoute = new Map<string, boolean>();

	private constructor() {
		// Instances are created with `create`.
	}

	/** Counts a request that the local server starts to run. */
	recordInbound(route: string, nowMs: number): void {
		this.#closeInterval(nowMs);
		this.#inbound.set(route, (this.#inbound.get(route) ?? 0) + 1);
	}

	/** Counts a request that this instance sends, on behalf of a caller or of the local server. */
	recordOutbound(route: string, nowMs: number): void {
		this.#closeInterval(nowMs);
		this.#outbound.set(route, (this.#outbound.get(route) ?? 0) + 1);
	}

	/** Lists the nested calls per request of a route, by the route of the calls; empty while unknown. */
	listCallRatios(route: string): ReadonlyMap<string, number> {
		return this.#ratios.get(route) ?? noRatios;
	}

	/** Returns the nested calls of a route per request of a parent route; 0 while unknown. */
	readRatio(parent: string, route: string): number {
		return this.listCallRatios(parent).get(route) ?? 0;
	}

	/** Records the report of a guard whether requests of a route from this instance are nested calls. */
	setNested(route: string, isNested: boolean): void {
		this.#isNestedByRoute.set(route, isNested);
	}

	/**
	 * Whether requests of a route from this instance are nested calls of the local server rather than
	 * requests of callers.
	 *
	 * @returns undefined before the first report of a guard
	 */
	isNested(route: string): boolean | undefined {
		return this.#isNestedByRoute.get(route);
	}

	#closeInterval(nowMs: number): void {
		const interval = Math.floor(nowMs / sampleIntervalMs);
		if (interval === this.#interval) {
			return;
		}

		this.#addInterval();
		this.#inbound = new Map();
		this.#outbound = new Map();
		this.#interval = interval;
	}

	#addInterval(): void {
		const {products, inboundMeans, outboundMeans} = this.#moments;
		this.#moments.intervals++;
		decay(products);
		addMeans(inboundMeans, this.#inbound);
		addMeans(outboundMeans, this.#outbound);
		for (const [first, count] of this.#inbound) {
			for (const [second, otherCount] of this.#inbound) {
				addProduct(products, `x ${first} ${second}`, count * otherCount);
			}

			for (const [route, outboundCount] of this.#outbound) {
				addProduct(products, `y ${first} ${route}`, count * outboundCount);
			}
		}

		for (const [route, count] of this.#outbound) {
			addProduct(products, `z ${route}`, count * count);
		}

		if (this.#moments.intervals >= minIntervals) {
			this.#updateRatios();
		}
	}

	#updateRatios(): void {
		const {inboundMeans, outboundMeans} = this.#moments;
		const parents = listBusiestRoutes(inboundMeans);
		const ratios = new Map<string, Map<string, number>>();
		for (const route of listBusiestRoutes(outboundMeans)) {
			if (this.#isNestedByRoute.get(route) !== true) {
				continue;
			}

			for (const [parent, ratio] of this.#fitRatios(parents, route)) {
				const calls = ratios.get(parent) ?? new Map<string, number>();
				const minimum = this.readRatio(parent, route) * minRatioRetention;
				calls.set(route, Math.max(ratio, minimum));
				ratios.set(parent, calls);
			}
		}

		this.#ratios = ratios;
	}

	/**
	 * Fits the calls of one route. Parents whose ratio is not significant are removed and the fit is repeated
	 * until all remaining ratios are significant.
	 */
	#fitRatios(parents: readonly string[], route: string): Map<string, number> {
		const {products} = this.#moments;
		let candidates = parents.filter(parent => (products.get(`x ${parent} ${parent}`) ?? 0) > 0);
		while (candidates.length > 0) {
			const fitted: readonly string[] = candidates;
			const matrix = fitted.map(row => readRow(products, row, fitted));
			const vector = fitted.map(row => products.get(`y ${row} ${route}`) ?? 0);
			const solution = solveLinear(matrix, vector);
			const variance = computeResidualVariance(products.get(`z ${route}`) ?? 0, solution, vector);
			candidates = fitted.filter((_parent, index) => {
				const standardError = Math.sqrt(variance * computeVarianceFactor(matrix, index));
				return solution[index]! >= Math.max(minRatio, minStandardErrors * standardError);
			});
			if (candidates.length === fitted.length) {
				return new Map(fitted.map((parent, index) => [parent, solution[index]!]));
			}
		}

		return new Map();
	}
}

const noRatios: ReadonlyMap<string, number> = new Map();

/** Computes the mean square residual of a fit per interval. */
function computeResidualVariance(
	total: number,
	solution: readonly number[],
	vector: readonly number[],
): number {
	let explained = 0;
	for (const [index, ratio] of solution.entries()) {
		explained += ratio * vector[index]!;
	}

	return Math.max(0, total - explained) * (1 - decayFactor);
}

/** Reads one row of the matrix of products of inbound counts. */
function readRow(products: Counts, row: string, columns: readonly string[]): number[] {
	return columns.map(column => products.get(`x ${row} ${column}`) ?? 0);
}

function decay(products: Counts): void {
	for (const [key, value] of products) {
		products.set(key, value * decayFactor);
	}
}

function addProduct(products: Counts, key: string, value: number): void {
	products.set(key, (products.get(key) ?? 0) + value);
}

function addMeans(means: Counts, counts: Counts): void {
	for (const [route, mean] of means) {
		means.set(route, mean * decayFactor);
	}

	for (const [route, count] of counts) {
		means.set(route, (means.get(route) ?? 0) + count * (1 - decayFactor));
	}
}

function listBusiestRoutes(means: Counts): string[] {
	const routes = [...means].toSorted((first, second) => second[1] - first[1]);
	return routes.slice(0, maxRoutes).map(([route]) => route);
}

/**
 * Computes one diagonal element of the inverse matrix, which is the variance of a ratio per unit of residual
 * variance. It grows with the correlation between routes, since a fit can then hardly separate them.
 */
function computeVarianceFactor(matrix: number[][], index: number): number {
	const unit = matrix.map((_row, row) => (row === index ? 1 : 0));
	return Math.max(0, solveLinear(matrix, unit)[index]!);
}

/** Solves a symmetric linear system by Gauss-Jordan elimination; unknowns without data get 0. */
function solveLinear(matrix: number[][], vector: number[]): number[] {
	const size = vector.length;
	const rows = matrix.map((row, index) => [...row, vector[index]!]);
	for (let pivot = 0; pivot < size; pivot++) {
		const pivotRow = rows[pivot]!;
		// The ridge term keeps the system solvable when the counts of two routes are proportional.
		const diagonal = pivotRow[pivot]! + 1e-6;
		for (let row = 0; row < size; row++) {
			if (row === pivot) {
				continue;
			}

			const factor = rows[row]![pivot]! / diagonal;
			for (let column = pivot; column <= size; column++) {
				rows[row]![column]! -= factor * pivotRow[column]!;
			}
		}
	}

	return rows.map((row, index) => (Math.abs(row[index]!) < 1e-9 ? 0 : row[size]! / row[index]!));
}
