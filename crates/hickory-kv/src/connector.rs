//! Connections of hyper's client on which the ends of responses are checked.

use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower::ServiceExt;
use tower::util::MapResponse;

use crate::upload_stream::UploadStream;

/// Opens connections on which the ends of responses are checked.
pub type Connector = MapResponse<HttpConnector, fn(TokioIo<TcpStream>) -> TokioIo<UploadStream>>;

/// Has the ends of responses checked on all connections that are opened.
pub fn check_ends(connector: HttpConnector) -> Connector {
    connector.map_response(wrap)
}

fn wrap(connection: TokioIo<TcpStream>) -> TokioIo<UploadStream> {
    TokioIo::new(UploadStream::new(connection.into_inner()))
}
