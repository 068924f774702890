#include "peer_int.h"

const peer_proc_info_t peer_procs[PEER_PROC_MAX] = {
	[PEER_GOSSIP] = { .name = "gossip",
			  .xdr_args = (xdrproc_t)xdr_peer_gossip,
			  .args_size = sizeof(peer_gossip) },
	[PEER_LIFE] = { .name = "life",
			.xdr_args = (xdrproc_t)xdr_peer_life,
			.args_size = sizeof(peer_life) },
	[PEER_CONFIG] = { .name = "config",
			  .xdr_args = (xdrproc_t)xdr_peer_config_get,
			  .args_size = sizeof(peer_config_get),
			  .xdr_res = (xdrproc_t)xdr_peer_config_part,
			  .res_size = sizeof(peer_config_part) },
};
