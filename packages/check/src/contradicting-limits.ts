/** Limits that can't both hold, or of which one has no effect beside the other. */
import type {EngineProfile, Route} from '@yuccawood/fleet';
import type {Finding, Rule} from './types.js';

const contradiction = (subject: string, detail: string): Finding => ({kind: 'contradiction', subject, detail});

const goals: Rule = ({routes}) => routes.flatMap(({name, goalMs, gapGoalMs, timeoutMs}) => [
	...(goalMs > timeoutMs ? [contradiction(`route "${name}" goal`, `${goalMs} ms is longer than the timeout of ${timeoutMs} ms.`)] : []),
	...(gapGoalMs !== undefined && gapGoalMs > timeoutMs ? [contradiction(`route "${name}" gap goal`, `${gapGoalMs} ms is longer than the timeout of ${timeoutMs} ms.`)] : []),
]);

/** Fields that have no effect on requests of another kind. */
const kinds: Rule = ({routes}) => routes.flatMap(({name, kind, attempts, isResumable, gapGoalMs}) => [
	...(kind !== 'stream' && isResumable ? [contradiction(`route "${name}"`, 'It is resumable, but its answers are no streams.')] : []),
	...(kind !== 'stream' && gapGoalMs !== undefined ? [contradiction(`route "${name}" gap goal`, 'Its answers are no streams.')] : []),
	...(isResumable && attempts < 2 ? [contradiction(`route "${name}" attempts`, 'It is resumable, but a request may run on one upstream only.')] : []),
	...(kind === 'once' && attempts > 1 ? [contradiction(`route "${name}" attempts`, `${attempts} are allowed, but its requests may run once.`)] : []),
]);

/** Time in milliseconds that an idle engine needs to read a usual prompt and make the first token. */
const shortestStartMs = ({usualPromptTokens, prefillTokensPerSecond, stepMs}: EngineProfile): number => (usualPromptTokens * 1000 / prefillTokensPerSecond) + stepMs;

const engineOf = ({backends}: Route, engines: ReadonlyMap<string, EngineProfile>): EngineProfile | undefined => backends.map(({service}) => engines.get(service)).find(Boolean);

const engineTimes: Rule = ({routes, services}) => {
	const engines = new Map(services.flatMap(({name, engine}) => engine ? [[name, engine]] : []));
	return routes.flatMap(route => {
		const engine = engineOf(route, engines);
		const startMs = engine ? shortestStartMs(engine) : 0;
		return startMs > route.goalMs
			? [contradiction(`route "${route.name}" goal`, `${route.goalMs} ms is shorter than the ${Math.ceil(startMs)} ms in which an idle engine reads a usual prompt and makes the first token.`)]
			: [];
	});
};

const connections: Rule = ({services}) => services.flatMap(({name, engine, maxConnections}) => engine && engine.slots > maxConnections
	? [contradiction(`service "${name}"`, `Its engines run ${engine.slots} requests at once, but take ${maxConnections} connections.`)]
	: []);

const cold: Rule = ({services}) => services.flatMap(({name, engine, cold}) => engine && cold && cold.requestsPerSecond * cold.coldMs < 1000
	? [contradiction(`service "${name}"`, 'Its cold upstreams tolerate less than one request until they are warm.')]
	: []);

const requestLimits: Rule = ({routes, limits: {headerMs}}) => routes
	.filter(({timeoutMs}) => timeoutMs < headerMs)
	.map(({name, timeoutMs}) => contradiction(`route "${name}" timeout`, `${timeoutMs} ms is shorter than the ${headerMs} ms that a caller may take for the head of its request.`));

export const CONTRADICTING_LIMITS: readonly Rule[] = [goals, kinds, engineTimes, connections, cold, requestLimits];
