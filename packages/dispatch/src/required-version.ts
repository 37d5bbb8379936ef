/**
Oldest version of a model that may answer a request now.

Load pattern: a rollout while requests are served. Until shortly before the bound both versions answer, so that the
upstreams which have not switched keep carrying their share; after that only the target version does.
*/
import type {ModelTarget} from '@yuccawood/fleet';
import {VERSION_MARGIN_MS} from './constants.js';

export const requiredVersion = (targets: readonly ModelTarget[], {now, boundMs}: {readonly now: number; readonly boundMs: number}): number | undefined =>
	targets.findLast(({learnedAt}) => now - learnedAt >= boundMs - VERSION_MARGIN_MS)?.version;
