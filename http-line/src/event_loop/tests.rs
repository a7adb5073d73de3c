//! Tests of the listener socket options.
use super::accept::{SERVER_TCP_TIMEOUT, set_options};
use super::*;

#[test]
fn accepted_connections_inherit_listener_options() {
    let listener = EventLoopHandle::listen(([127, 0, 0, 1], 0).into()).unwrap();
    set_options(&listener).unwrap();
    let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let accepted = listener.accept().unwrap().0;
    let socket = socket2::SockRef::from(&accepted);
    assert!(socket.tcp_nodelay().unwrap() && !peer.nodelay().unwrap());
    assert_eq!(socket.tcp_user_timeout().unwrap(), Some(SERVER_TCP_TIMEOUT));
}
