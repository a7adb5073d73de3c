//! Tests of control nodes in virtual time, with network partitions and failing disks.

mod cluster;

mod disk_failure;
mod isolation;
