//! Client for the key-value service's etcd v3 JSON gateway.
