/** Virtual time, virtual network and gossip clusters for the tests of this and other packages. */
export {VirtualClock, VirtualTime} from './virtual-time.js';
export {VirtualHost, VirtualNetwork} from './virtual-network.js';
export {GossipCluster, type ClusterNode} from './gossip-cluster.js';
