/** Plots goodput over offered load, with one line for each policy. */
import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';

export type GoodputPoint = {
	readonly policy: string;

	/** Offered load as a multiple of the engines' bound. */
	readonly load: number;

	/** Calls answered within their goal, as a share of the bound. */
	readonly goodputShare: number;
};

const WIDTH = 520;
const HEIGHT = 320;

/** @returns the plot as an SVG document */
export const goodputPlot = async (points: readonly GoodputPoint[]): Promise<string> => {
	const specification: TopLevelSpec = {
		width: WIDTH, height: HEIGHT, background: 'white',
		data: {values: [...points]},
		mark: {type: 'line', point: true},
		encoding: {
			x: {field: 'load', type: 'quantitative', title: 'offered load / bound of the engines'},
			y: {
				field: 'goodputShare', type: 'quantitative', title: 'calls answered within their goal / bound', scale: {domain: [0, 1]},
			},
			color: {field: 'policy', type: 'nominal', title: 'policy'},
		},
	};
	return new View(parse(compile(specification).spec), {renderer: 'none'}).toSVG();
};
