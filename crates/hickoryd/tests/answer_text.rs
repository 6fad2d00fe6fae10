//! The rating service gets the generated text, whatever the format of the response body.

use hickoryd::answer_text::answer_text;

/// Guards against rating JSON or event framing instead of the generated text.
#[test]
fn text_is_extracted_from_complete_bodies_and_streams() {
    let complete =
        br#"{"choices":[{"index":0,"message":{"role":"assistant","content":"pH 4.1"}}]}"#;
    assert_eq!(answer_text(complete), "pH 4.1");
    let stream = b"data: {\"choices\":[{\"delta\":{\"content\":\"pH\"}}]}\n\n\
        data: {\"choices\":[{\"delta\":{\"content\":\" 4.1\"}}]}\n\n\
        data: {\"choices\":[{\"delta\":{}}]}\n\ndata: {\"choices\":[],\"usage\":{}}\n\n\
        data: [DONE]\n\n";
    assert_eq!(answer_text(stream), "pH 4.1");
    assert_eq!(answer_text(b"lot 7 is released"), "lot 7 is released");
}
