//! The messages that a stand-in host sends.

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, SslResponse,
    TransactionStatus,
};
use pgwire::messages::startup::{Authentication, ParameterStatus};
use pgwire::messages::PgWireBackendMessage;

/// PostgreSQL's number for the type `bytea`.
const BYTEA: u32 = 17;

pub(super) fn refuse_ssl() -> PgWireBackendMessage {
    PgWireBackendMessage::SslResponse(SslResponse::Refuse)
}

pub(super) fn authentication_ok() -> PgWireBackendMessage {
    PgWireBackendMessage::Authentication(Authentication::Ok)
}

pub(super) fn parameter_status(name: &str, value: &str) -> PgWireBackendMessage {
    PgWireBackendMessage::ParameterStatus(ParameterStatus::new(name.to_string(), value.to_string()))
}

pub(super) fn ready_for_query() -> PgWireBackendMessage {
    PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle))
}

pub(super) fn command_complete(tag: &str) -> PgWireBackendMessage {
    PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_string()))
}

pub(super) fn empty_query() -> PgWireBackendMessage {
    PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new())
}

/// One row of one column, without `ReadyForQuery`.
pub(super) fn row(value: &str) -> Vec<PgWireBackendMessage> {
    let mut data = BytesMut::new();
    data.put_i32(value.len() as i32);
    data.put_slice(value.as_bytes());
    let field = FieldDescription::new("payload".to_string(), 0, 0, BYTEA, -1, -1, 0);
    vec![
        PgWireBackendMessage::RowDescription(RowDescription::new(vec![field])),
        PgWireBackendMessage::DataRow(DataRow::new(data, 1)),
        command_complete("SELECT 1"),
    ]
}

/// An error, without `ReadyForQuery`.
pub(super) fn error(sqlstate: &str, text: &str) -> PgWireBackendMessage {
    let fields = [
        (b'S', "ERROR"),
        (b'V', "ERROR"),
        (b'C', sqlstate),
        (b'M', text),
    ];
    let fields = fields
        .into_iter()
        .map(|(field, value)| (field, value.to_string()))
        .collect();
    PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields))
}
