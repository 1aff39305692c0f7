/**
 * Learns how many calls of each route one request of each route makes.
 *
 * Calls of a server carry nothing that names their parent. But the sidecar beside it sees which
 * requests the server begins and which requests come from its instance, so the ratios follow from
 * counts in short spans by least squares. Only routes that guards have named as inner are fitted, since
 * requests of callers follow the same swing of the day.
 *
 * Pattern: a service at the end of the call trees fills up, and the entries have to know which of
 * their callers' requests end there.
 */

/** Long enough that most calls fall into the span in which their parent began, or the next. */
export const spanMs = 250;
/** Weight of the past per span; half of it is forgotten in about ten seconds. */
const keptPerSpan = 0.9825;
/** Spans needed before the ratios mean anything. */
const minSpans = 4;
/**
 * A ratio falls by this factor a span at most. A tree whose calls fail ends early and makes fewer, while
 * one that is to succeed still needs them all.
 */
const keptPerSolve = 0.997;
/** A ratio below this, or below this many times its standard error, is taken for chance. */
const minRatio = 0.4;
const minErrors = 3;
/** Routes compared at a time; the busiest are kept. */
const maxRoutes = 12;

type Counts = Map<string, number>;

/** Sums of products of counts, decayed. */
type Moments = {
	readonly products: Map<string, number>;
	readonly begunMeans: Counts;
	readonly madeMeans: Counts;
	spans: number;
};

export class CallModel {
	/**
	 * @example
	 * const model = CallModel.create();
	 * model.recordBegun('r-orders', nowMs);
	 * model.recordMade('r-prices', nowMs);
	 * const ratio = model.readRatio('r-orders', 'r-prices');
	 */
	static create(): CallModel {
		return new CallModel();
	}

	#begun: Counts = new Map();
	#made: Counts = new Map();
	#span = -1;
	readonly #moments: Moments = {
		products: new Map(),
		begunMeans: new Map(),
		madeMeans: new Map(),
		spans: 0,
	};

	/** Ratios by route of the parent, then by route of the calls. */
	#ratios = new Map<string, Map<string, number>>();
	readonly #inner = new Map<string, boolean>();

	private constructor() {
		// Made by `create`.
	}

	/** Counts a request that the server begins to run. */
	recordBegun(route: string, nowMs: number): void {
		this.#closeSpans(nowMs);
		this.#begun.set(route, (this.#begun.get(route) ?? 0) + 1);
	}

	/** Counts a request that comes from this instance, of a caller or of the server. */
	recordMade(route: string, nowMs: number): void {
		this.#closeSpans(nowMs);
		this.#made.set(route, (this.#made.get(route) ?? 0) + 1);
	}

	/** Calls that one request of a route makes, by route; empty while they are not known. */
	listCalls(route: string): ReadonlyMap<string, number> {
		return this.#ratios.get(route) ?? noCalls;
	}

	readRatio(parent: string, route: string): number {
		return this.listCalls(parent).get(route) ?? 0;
	}

	/** Records what a guard says of the requests that come from this instance. */
	setInner(route: string, isInner: boolean): void {
		this.#inner.set(route, isInner);
	}

	/**
	 * Whether requests of a route from this instance are calls of the server, and not of callers.
	 *
	 * @returns undefined while no guard has told
	 */
	isInner(route: string): boolean | undefined {
		return this.#inner.get(route);
	}

	#closeSpans(nowMs: number): void {
		const span = Math.floor(nowMs / spanMs);
		if (span === this.#span) {
			return;
		}

		this.#addSpan();
		this.#begun = new Map();
		this.#made = new Map();
		this.#span = span;
	}

	#addSpan(): void {
		const {products, begunMeans, madeMeans} = this.#moments;
		this.#moments.spans++;
		decay(products);
		addMeans(begunMeans, this.#begun);
		addMeans(madeMeans, this.#made);
		for (const [first, count] of this.#begun) {
			for (const [second, otherCount] of this.#begun) {
				addProduct(products, `x ${first} ${second}`, count * otherCount);
			}

			for (const [route, madeCount] of this.#made) {
				addProduct(products, `y ${first} ${route}`, count * madeCount);
			}
		}

		for (const [route, count] of this.#made) {
			addProduct(products, `z ${route}`, count * count);
		}

		if (this.#moments.spans >= minSpans) {
			this.#solve();
		}
	}

	#solve(): void {
		const {begunMeans, madeMeans} = this.#moments;
		const parents = listBusiest(begunMeans);
		const ratios = new Map<string, Map<string, number>>();
		for (const route of listBusiest(madeMeans)) {
			if (this.#inner.get(route) !== true) {
				continue;
			}

			for (const [parent, ratio] of this.#fit(parents, route)) {
				const calls = ratios.get(parent) ?? new Map<string, number>();
				const known = this.readRatio(parent, route) * keptPerSolve;
				calls.set(route, Math.max(ratio, known));
				ratios.set(parent, calls);
			}
		}

		this.#ratios = ratios;
	}

	/** Fits the calls of one route, leaving out parents whose ratio is not above chance. */
	#fit(parents: readonly string[], route: string): Map<string, number> {
		const {products} = this.#moments;
		let used = parents.filter(parent => (products.get(`x ${parent} ${parent}`) ?? 0) > 0);
		while (used.length > 0) {
			const tried: readonly string[] = used;
			const matrix = tried.map(row => readRow(products, row, tried));
			const vector = tried.map(row => products.get(`y ${row} ${route}`) ?? 0);
			const solution = solveLinear(matrix, vector);
			const variance = computeResidual(products.get(`z ${route}`) ?? 0, solution, vector);
			used = tried.filter((_parent, index) => {
				const error = Math.sqrt(variance * computeSpread(matrix, index));
				return solution[index]! >= Math.max(minRatio, minErrors * error);
			});
			if (used.length === tried.length) {
				return new Map(tried.map((parent, index) => [parent, solution[index]!]));
			}
		}

		return new Map();
	}
}

const noCalls: ReadonlyMap<string, number> = new Map();

/** Mean square of what a fit leaves unexplained, per span. */
function computeResidual(
	total: number,
	solution: readonly number[],
	vector: readonly number[],
): number {
	let explained = 0;
	for (const [index, ratio] of solution.entries()) {
		explained += ratio * vector[index]!;
	}

	return Math.max(0, total - explained) * (1 - keptPerSpan);
}

/** Products of the counts of one parent with those of all. */
function readRow(products: Counts, row: string, columns: readonly string[]): number[] {
	return columns.map(column => products.get(`x ${row} ${column}`) ?? 0);
}

function decay(products: Counts): void {
	for (const [key, value] of products) {
		products.set(key, value * keptPerSpan);
	}
}

function addProduct(products: Counts, key: string, value: number): void {
	products.set(key, (products.get(key) ?? 0) + value);
}

function addMeans(means: Counts, counts: Counts): void {
	for (const [route, mean] of means) {
		means.set(route, mean * keptPerSpan);
	}

	for (const [route, count] of counts) {
		means.set(route, (means.get(route) ?? 0) + count * (1 - keptPerSpan));
	}
}

function listBusiest(means: Counts): string[] {
	const routes = [...means].toSorted((first, second) => second[1] - first[1]);
	return routes.slice(0, maxRoutes).map(([route]) => route);
}

/**
 * One diagonal element of the inverse: how far a ratio may be off for a given variance. It grows where
 * routes come and go together, so that one could pass for the other.
 */
function computeSpread(matrix: number[][], index: number): number {
	const unit = matrix.map((_row, row) => (row === index ? 1 : 0));
	return Math.max(0, solveLinear(matrix, unit)[index]!);
}

/** Solves a symmetric system by elimination; directions without data get 0. */
function solveLinear(matrix: number[][], vector: number[]): number[] {
	const size = vector.length;
	const rows = matrix.map((row, index) => [...row, vector[index]!]);
	for (let pivot = 0; pivot < size; pivot++) {
		const pivotRow = rows[pivot]!;
		// Ridge against routes that always change together.
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
