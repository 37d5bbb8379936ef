/** Virtual time and network for tests of this and other packages. */
export {VirtualClock, VirtualTime} from './virtual-time.js';
export {VirtualHost, VirtualNetwork} from './virtual-network.js';
export {GossipCluster, type ClusterNode} from './gossip-cluster.js';
